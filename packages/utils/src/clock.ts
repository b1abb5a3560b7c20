/** Time sources. Decisions receive the time as an argument and never read it. */

/** A source of the current time in milliseconds since the Unix epoch. */
export interface Clock {
  now(): number;
}

/**
 * The steady clock of the process, counted from the time of day at its start.
 * It does not follow steps of the time of day, so that deadlines hold. Whole
 * milliseconds: start times go into messages that take integers only.
 */
export class SystemClock implements Clock {
  now(): number {
    return Math.floor(performance.timeOrigin + performance.now());
  }
}

/** A clock that moves only when told to. */
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
