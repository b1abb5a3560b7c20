/** Limits the number of fetches that a node serves at once. */

import type {RandomSource} from '@turmericmill/utils';

/** Maximum number of fetches served at once. */
export const MAX_CONCURRENT_FETCHES = 4;

/** Assumed rate of one transfer, in bytes per ms. */
const TRANSFER_BYTES_PER_MS = 4096;

/** Maximum jitter of the retry time that a refused peer receives. */
const RETRY_JITTER_MS = 200;

/** Admits a fetch while fewer than the maximum number are in progress. */
export class FetchLimiter {
  private transferEndsMs: number[] = [];

  constructor(
    private readonly random: RandomSource,
    private readonly maxConcurrent = MAX_CONCURRENT_FETCHES,
  ) {}

  /** 0 if a fetch may be served now; otherwise the time in ms to wait. */
  retryAfterMs(nowMs: number): number {
    this.transferEndsMs = this.transferEndsMs.filter(endMs => endMs > nowMs);
    if (this.transferEndsMs.length < this.maxConcurrent) return 0;
    const nextEndMs = Math.min(...this.transferEndsMs) - nowMs;
    return Math.ceil(nextEndMs + 1 + this.random.next() * RETRY_JITTER_MS);
  }

  /** Records that the transfer of an answer of `bytes` starts. */
  recordTransfer(bytes: number, nowMs: number): void {
    this.transferEndsMs.push(nowMs + bytes / TRANSFER_BYTES_PER_MS);
  }
}
