/**
 * Estimates the time since a caller's first attempt. Load pattern: an overload
 * of several seconds in which refused callers retry. They state their remaining
 * time, which is shorter than that of first attempts. Their answers are on time
 * only if the elapsed time is counted.
 */

import {boundedCache} from '@turmericmill/utils';

/** Maximum number of routes with samples. */
const MAX_ROUTES = 4_096;
/** Number of samples kept per route. */
const SAMPLES = 32;
/**
 * Quantile of the stated times that is used as the time of a first attempt.
 * Retrying callers state less, and a few callers may wait longer than all
 * others.
 */
const FIRST_ATTEMPT_QUANTILE = 0.75;
/** Differences in ms up to this do not indicate an earlier attempt. */
const TOLERANCE_MS = 20;

/** Ring buffer of the remaining times in ms that callers of a route stated. */
interface StatedTimes {
  timesMs: number[];
  next: number;
}

/** Estimator of one entry node. Each route has its own samples. */
export class ElapsedTimeEstimator {
  private readonly samples = boundedCache<string, StatedTimes>(MAX_ROUTES);

  /**
   * Records the remaining time in ms that a caller of a route states, and
   * estimates the time in ms since its first attempt.
   */
  estimateElapsedMs(route: string, remainingMs: number): number {
    if (!Number.isFinite(remainingMs)) return 0;
    const {timesMs} = this.record(route, remainingMs);
    const sorted = [...timesMs].sort((a, b) => a - b);
    const index = Math.floor(FIRST_ATTEMPT_QUANTILE * (sorted.length - 1));
    const elapsedMs = (sorted[index] ?? 0) - remainingMs;
    return elapsedMs > TOLERANCE_MS ? elapsedMs : 0;
  }

  private record(route: string, remainingMs: number): StatedTimes {
    let stated = this.samples.get(route);
    if (!stated) {
      stated = {timesMs: [], next: 0};
      this.samples.set(route, stated);
    }
    stated.timesMs[stated.next] = remainingMs;
    stated.next = (stated.next + 1) % SAMPLES;
    return stated;
  }
}
