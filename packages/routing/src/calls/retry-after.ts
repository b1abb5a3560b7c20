/**
 * Delay after which a refused caller should retry. Load pattern: a burst fills
 * all slots for a few service times. Callers that all retry at the same time
 * would find the same full queue.
 */

import type {RandomSource} from '@turmericmill/utils';

/** Longest delay that callers accept, as a share of their remaining time. */
const MAX_DELAY_SHARE = 1 / 3;
/** Minimum delay in ms; an earlier retry finds the same queue. */
const MIN_DELAY_MS = 40;
/** Maximum jitter in ms, which spreads the retries. */
const MAX_JITTER_MS = 60;

/** Returns the delay in ms until a slot is expected, with jitter. */
export function retryAfterMs(
  waitMs: number,
  remainingMs: number,
  random: RandomSource,
): number {
  const jitterMs = MAX_JITTER_MS * random.next();
  const delayMs = Math.max(MIN_DELAY_MS, waitMs) + jitterMs;
  return Math.max(0, Math.min(delayMs, remainingMs * MAX_DELAY_SHARE));
}
