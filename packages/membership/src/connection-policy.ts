/** Reconnect backoff, accept rate and version negotiation of connections. */

import {Err, Ok, type RandomSource, type Result} from '@turmericmill/utils';
import type {GoodbyeReason, Hello} from '@turmericmill/wire';

import {TokenBucket} from './token-bucket.js';

/** Base and cap in ms of the jittered backoff between connection attempts. */
const RECONNECT_BASE_MS = 100;
const RECONNECT_CAP_MS = 5_000;

/**
 * Backoff of connections to one peer, with full jitter: each delay is uniform
 * between 0 and a limit that doubles with each failure, so that nodes that lost
 * a peer at the same time do not reconnect at the same time.
 */
export class ReconnectSchedule {
  private attempt = 0;
  private notBeforeMs = 0;

  /** True when an attempt may start now. */
  mayConnect(nowMs: number): boolean {
    return nowMs >= this.notBeforeMs;
  }

  /** Time in ms from which the next attempt may start. */
  get nextAttemptAtMs(): number {
    return this.notBeforeMs;
  }

  /** Records a failed attempt or a lost connection. */
  recordFailure(nowMs: number, random: RandomSource): void {
    const delayMs = random.jitter(
      RECONNECT_BASE_MS,
      this.attempt,
      RECONNECT_CAP_MS,
    );
    this.attempt += 1;
    this.notBeforeMs = nowMs + delayMs;
  }

  /** Records that the handshake is complete, and resets the backoff. */
  recordSuccess(): void {
    this.attempt = 0;
    this.notBeforeMs = 0;
  }
}

/** Limits the rate at which a node accepts connections from other nodes. */
export class AcceptLimiter {
  private readonly bucket: TokenBucket;

  constructor(nowMs: number, perSecond: number, burst: number) {
    this.bucket = new TokenBucket(perSecond, burst, nowMs);
  }

  /** False if the connection has to be refused with `overload`. */
  accept(nowMs: number): boolean {
    return this.bucket.take(1, nowMs);
  }
}

/** Reason for which a connection is refused. */
export interface NegotiationError {
  reason: GoodbyeReason;
  detail: string;
}

/** Returns the highest version that both sides support. */
export function negotiateVersion(
  ownMin: number,
  ownMax: number,
  theirs: Pick<Hello, 'minVersion' | 'maxVersion'>,
): Result<number, NegotiationError> {
  const {minVersion, maxVersion} = theirs;
  const isValid =
    Number.isInteger(minVersion) &&
    Number.isInteger(maxVersion) &&
    minVersion <= maxVersion;
  if (!isValid) {
    const detail = `Invalid version range: ${minVersion} to ${maxVersion}.`;
    return Err({reason: 'malformed', detail});
  }
  const version = Math.min(ownMax, maxVersion);
  if (version >= Math.max(ownMin, minVersion)) return Ok(version);
  const detail =
    `This node speaks versions ${ownMin} to ${ownMax}, ` +
    `the other ${minVersion} to ${maxVersion}.`;
  return Err({reason: 'version', detail});
}
