/**
 * Time sources. Decision logic receives the time as an argument and reads no
 * clock.
 */

/** A source of the current time in milliseconds since the Unix epoch. */
export interface Clock {
  now(): number;
}

/**
 * Monotonic clock of the process, starting from the wall-clock time at process
 * start. It ignores later steps of the wall clock, so that deadlines hold.
 * Returns whole milliseconds, as start times are sent in messages that accept
 * only integers.
 */
export class SystemClock implements Clock {
  now(): number {
    return Math.floor(performance.timeOrigin + performance.now());
  }
}

/** A clock that only moves when `advance` is called, for tests. */
export class ManualClock implements Clock {
  constructor(private currentMs = 0) {}

  now(): number {
    return this.currentMs;
  }

  /** Moves the clock forward by `ms` and returns the new time. */
  advance(ms: number): number {
    this.currentMs += ms;
    return this.currentMs;
  }
}
