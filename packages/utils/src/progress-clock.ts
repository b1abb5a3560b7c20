/** A clock that does not stand still while the host is suspended. */

import type {Clock} from './clock.js';

/**
 * Least gain in ms of the wall clock over the steady clock that counts as
 * progress; smaller ones are rounding or the correction of a clock's rate.
 */
const MIN_GAIN_MS = 20;

/**
 * Grows by the larger progress of the steady and the wall clock. The steady
 * clock stands still while the host is suspended, and the wall clock may step.
 * A step forward counts as progress; a step back has no effect.
 */
export class ProgressClock implements Clock {
  /** Time in ms that the steady clock has missed. */
  private missedMs = 0;
  /** Last known lead in ms of the wall clock over the steady clock. */
  private leadMs: number;

  constructor(
    private readonly steady: Clock,
    private readonly wall: Clock = {now: () => Date.now()},
  ) {
    this.leadMs = wall.now() - steady.now();
  }

  now(): number {
    const steadyMs = this.steady.now();
    const leadMs = this.wall.now() - steadyMs;
    const gainMs = leadMs - this.leadMs;
    if (gainMs >= MIN_GAIN_MS) this.missedMs += gainMs;
    if (gainMs >= MIN_GAIN_MS || gainMs < 0) this.leadMs = leadMs;
    return steadyMs + this.missedMs;
  }
}
