/**
 * How long ago a caller first asked. Load pattern: an overload of seconds, in
 * which refused callers come back. They state the time that they have left, and
 * have less of it than those who ask for the first time; an answer is on time
 * for them only if that is counted.
 */

import {boundedCache} from '@turmericmill/utils';

/** Routes whose callers are known. */
const MAX_ROUTES = 4_096;
/** Time in ms after which the longest patience seen is learned anew. */
const RELEARN_MS = 30_000;
/** Difference in ms that is no sign of an earlier attempt. */
const TOLERANCE_MS = 20;

interface Longest {
  /** Longest time in ms that a caller stated, before and since `sinceMs`. */
  beforeMs: number;
  currentMs: number;
  sinceMs: number;
}

/** One instance for each entry node; patience is learned by route. */
export class CallerPatience {
  private readonly longest = boundedCache<string, Longest>(MAX_ROUTES);

  /**
   * Takes in the time in ms that a caller of a route has left, and returns the
   * time in ms since it first asked.
   */
  elapsedMs(route: string, remainingMs: number, nowMs: number): number {
    if (!Number.isFinite(remainingMs)) return 0;
    const known = this.noted(route, remainingMs, nowMs);
    const elapsedMs = Math.max(known.beforeMs, known.currentMs) - remainingMs;
    return elapsedMs > TOLERANCE_MS ? elapsedMs : 0;
  }

  private noted(route: string, remainingMs: number, nowMs: number): Longest {
    let known = this.longest.get(route);
    if (!known) {
      known = {beforeMs: 0, currentMs: 0, sinceMs: nowMs};
      this.longest.set(route, known);
    }
    if (nowMs - known.sinceMs > RELEARN_MS) {
      known.beforeMs = known.currentMs;
      known.currentMs = 0;
      known.sinceMs = nowMs;
    }
    known.currentMs = Math.max(known.currentMs, remainingMs);
    return known;
  }
}
