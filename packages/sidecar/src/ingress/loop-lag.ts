/** How far the event loop is behind. */

import type {Clock} from '@turmericmill/utils';

/** Time in ms between the ticks that are watched. */
const TICK_MS = 100;
/** Lateness in ms that is not counted: timers are never exact. */
const TOLERANCE_MS = 20;

/**
 * Load pattern: a node that is short of processor time reads requests long
 * after they arrived. What it takes for their time left is then too much.
 */
export class LoopLag {
  private tickMs: number;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly clock: Clock) {
    this.tickMs = clock.now();
  }

  start(): void {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  tick(): void {
    this.tickMs = this.clock.now();
  }

  /** Time in ms that something read now has waited at most. */
  get mostWaitedMs(): number {
    const lateMs = this.clock.now() - this.tickMs - TICK_MS;
    return lateMs > TOLERANCE_MS ? lateMs : 0;
  }

  /** Expected wait in ms: arrivals are spread over the time of the lag. */
  get expectedWaitMs(): number {
    return this.mostWaitedMs / 2;
  }
}
