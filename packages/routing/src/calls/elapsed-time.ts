/**
 * How long ago a caller first asked. Load pattern: an overload of seconds, in
 * which refused callers come back. They state the time that they have left, and
 * have less of it than those who ask for the first time; an answer is on time
 * for them only if that is counted.
 */

import {boundedCache} from '@turmericmill/utils';

/** Routes whose callers are known. */
const MAX_ROUTES = 4_096;
/** Callers of a route that are remembered. */
const SAMPLES = 32;
/**
 * Part of the callers that state less than what counts as the first statement:
 * some have come back, and a few may wait longer than all others.
 */
const FIRST_QUANTILE = 0.75;
/** Difference in ms that is no sign of an earlier attempt. */
const TOLERANCE_MS = 20;

/** Times in ms that the last callers of a route stated, in a ring. */
interface Stated {
  timesMs: number[];
  next: number;
}

/** One instance for each entry node; patience is learned by route. */
export class ElapsedTimeEstimator {
  private readonly stated = boundedCache<string, Stated>(MAX_ROUTES);

  /**
   * Takes in the time in ms that a caller of a route has left, and returns the
   * time in ms since it probably first asked.
   */
  estimateElapsedMs(route: string, remainingMs: number): number {
    if (!Number.isFinite(remainingMs)) return 0;
    const {timesMs} = this.noted(route, remainingMs);
    const sorted = [...timesMs].sort((a, b) => a - b);
    const index = Math.floor(FIRST_QUANTILE * (sorted.length - 1));
    const elapsedMs = (sorted[index] ?? 0) - remainingMs;
    return elapsedMs > TOLERANCE_MS ? elapsedMs : 0;
  }

  private noted(route: string, remainingMs: number): Stated {
    let known = this.stated.get(route);
    if (!known) {
      known = {timesMs: [], next: 0};
      this.stated.set(route, known);
    }
    known.timesMs[known.next] = remainingMs;
    known.next = (known.next + 1) % SAMPLES;
    return known;
  }
}
