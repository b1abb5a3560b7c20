/** Measures the event loop delay: the lateness of a periodic timer. */

import type {Clock} from '@turmericmill/utils';

/** Interval in ms of the timer whose lateness is measured. */
const TICK_INTERVAL_MS = 100;
/** Lateness in ms that is ignored: timers are never exact. */
const TOLERANCE_MS = 20;

/**
 * Load pattern: a node that is short of CPU time reads requests long after they
 * arrived, and would overestimate their remaining time.
 */
export class EventLoopLag {
  private lastTickMs: number;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly clock: Clock) {
    this.lastTickMs = clock.now();
  }

  start(): void {
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  tick(): void {
    this.lastTickMs = this.clock.now();
  }

  /** Longest time in ms that bytes read now can have waited. */
  get maxWaitMs(): number {
    const lateMs = this.clock.now() - this.lastTickMs - TICK_INTERVAL_MS;
    return lateMs > TOLERANCE_MS ? lateMs : 0;
  }

  /**
   * Mean wait in ms of bytes read now: arrivals spread evenly over the delay.
   */
  get expectedWaitMs(): number {
    return this.maxWaitMs / 2;
  }
}
