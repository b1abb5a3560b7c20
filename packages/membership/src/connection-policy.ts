/** When to connect again, how many connections to take, and which version. */

import {Err, Ok, type RandomSource, type Result} from '@turmericmill/utils';
import type {GoodbyeReason, Hello} from '@turmericmill/wire';

import {TokenBucket} from './token-bucket.js';

/** Base and cap in ms of the jittered time between tries to connect. */
const RECONNECT_BASE_MS = 100;
const RECONNECT_CAP_MS = 5_000;

/**
 * When to connect to one peer again. Each delay is drawn evenly from nothing up
 * to a cap that doubles, so that nodes which lost a peer together do not return
 * together.
 */
export class ReconnectSchedule {
  private attempt = 0;
  private notBeforeMs = 0;

  /** True when a try may start now. */
  mayConnect(nowMs: number): boolean {
    return nowMs >= this.notBeforeMs;
  }

  /** Time in ms from which the next try may start. */
  get nextTryAtMs(): number {
    return this.notBeforeMs;
  }

  /** A try has failed, or the connection was lost. */
  failed(nowMs: number, random: RandomSource): void {
    const delayMs = random.jitter(
      RECONNECT_BASE_MS,
      this.attempt,
      RECONNECT_CAP_MS,
    );
    this.attempt += 1;
    this.notBeforeMs = nowMs + delayMs;
  }

  /** The connection is established: the other side has said hello. */
  established(): void {
    this.attempt = 0;
    this.notBeforeMs = 0;
  }
}

/** Bounds the connections that a node takes from others. */
export class AcceptLimiter {
  private readonly bucket: TokenBucket;

  constructor(nowMs: number, perSecond: number, burst: number) {
    this.bucket = new TokenBucket(perSecond, burst, nowMs);
  }

  /** False when the connection has to be refused with `overload`. */
  accept(nowMs: number): boolean {
    return this.bucket.take(1, nowMs);
  }
}

/** Why a connection is refused. */
export interface NegotiationError {
  reason: GoodbyeReason;
  detail: string;
}

/** The highest version that both sides speak, or why there is none. */
export function negotiateVersion(
  ownMin: number,
  ownMax: number,
  theirs: Pick<Hello, 'minVersion' | 'maxVersion'>,
): Result<number, NegotiationError> {
  const {minVersion, maxVersion} = theirs;
  const sane =
    Number.isInteger(minVersion) &&
    Number.isInteger(maxVersion) &&
    minVersion <= maxVersion;
  if (!sane) {
    const detail = `Versions ${minVersion} to ${maxVersion} make no sense.`;
    return Err({reason: 'malformed', detail});
  }
  const version = Math.min(ownMax, maxVersion);
  if (version >= Math.max(ownMin, minVersion)) return Ok(version);
  const detail =
    `This node speaks versions ${ownMin} to ${ownMax}, ` +
    `the other ${minVersion} to ${maxVersion}.`;
  return Err({reason: 'version', detail});
}
