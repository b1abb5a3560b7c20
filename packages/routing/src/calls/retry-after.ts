/**
 * When a refused caller should come back. Load pattern: a burst that fills all
 * slots for a few service times; callers who return all at once would meet the
 * same full queue.
 */

import type {RandomSource} from '@turmericmill/utils';

/** Part of its remaining time that a caller is willing to stay away. */
const PATIENCE_SHARE = 1 / 3;
/** Least time in ms to stay away; below, a return finds the same queue. */
const LEAST_AWAY_MS = 40;
/** Width in ms over which returns are spread. */
const SPREAD_MS = 60;

/** Time in ms after which a slot is expected for the caller. */
export function retryAfterMs(
  waitMs: number,
  remainingMs: number,
  random: RandomSource,
): number {
  const spreadMs = SPREAD_MS * random.next();
  const awayMs = Math.max(LEAST_AWAY_MS, waitMs) + spreadMs;
  return Math.max(0, Math.min(awayMs, remainingMs * PATIENCE_SHARE));
}
