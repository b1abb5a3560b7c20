/** How many fetches a node serves at once. */

import type {RandomSource} from '@turmericmill/utils';

/** Fetches served at once. */
export const MAX_CONCURRENT_FETCHES = 4;

/** Rate that one transfer is taken to have, in bytes for each ms. */
const TRANSFER_BYTES_PER_MS = 4096;

/** Spread of the times at which refused peers come back. */
const RETRY_SPREAD_MS = 200;

/** Grants fetches while fewer than the allowed number are under way. */
export class FetchServer {
  private endsMs: number[] = [];

  constructor(
    private readonly random: RandomSource,
    private readonly maxConcurrent = MAX_CONCURRENT_FETCHES,
  ) {}

  /** Zero when a fetch may be served now, else the ms to wait. */
  delayMs(nowMs: number): number {
    this.endsMs = this.endsMs.filter(endMs => endMs > nowMs);
    if (this.endsMs.length < this.maxConcurrent) return 0;
    const soonest = Math.min(...this.endsMs) - nowMs;
    return Math.ceil(soonest + 1 + this.random.next() * RETRY_SPREAD_MS);
  }

  /** Notes that an answer of `bytes` is being sent. */
  begin(bytes: number, nowMs: number): void {
    this.endsMs.push(nowMs + bytes / TRANSFER_BYTES_PER_MS);
  }
}
