/**
 * Number of calls at once for which a server that has just started or recovered
 * is announced. Load pattern: a server joins a busy service, and all ingress
 * nodes, which know nothing of its load, send it calls in the same moment. It is
 * also slow at first, so that most of these calls wait in vain. With too small a
 * number for too long, it idles while the others are full.
 *
 * The number begins at a quarter of the slots and grows with each answer, so that
 * a server that answers fast doubles it with every round of calls. Answers that
 * take longer than expected raise it only up to the throughput that they show.
 * It is announced by the server's node, which sees all calls, so that callers do
 * not probe. It is no limit of admission: when all servers have just started,
 * they use all of their slots.
 */

/** Share of the slots that is announced right after a start. */
const INITIAL_SHARE = 0.25;
/** Smallest number that is announced. */
const MIN_SLOTS = 2;
/** Ratio of the actual to the expected time up to which an answer is normal. */
const NORMAL_RATIO = 1.4;
/** Growth for each slow answer, in slots. */
const SLOW_STEP_SLOTS = 0.5;
/**
 * Factor by which the number grows before it is announced again: each change is
 * sent to all nodes.
 */
const ANNOUNCED_STEP = 1.9;

/** An answer of the server; times in ms. */
export interface PacedAnswer {
  elapsedMs: number;
  /** Time that a warm server takes; undefined if no server has answered yet. */
  expectedMs: number | undefined;
}

export class StartPace {
  private current: number;
  private announced: number;

  constructor(private slots: number) {
    this.current = initialSlots(slots);
    this.announced = this.current;
  }

  /** Calls at once for which the server is announced; an integer from 1. */
  get announcedSlots(): number {
    return Math.max(1, Math.min(this.slots, Math.floor(this.announced)));
  }

  /** True until the server is announced with all of its slots. */
  get isStarting(): boolean {
    return this.announced < this.slots;
  }

  /** Applies the number of slots that the server reports. */
  resize(slots: number): void {
    if (slots === this.slots) return;
    const wasStarting = this.isStarting;
    this.slots = slots;
    if (!wasStarting) this.announced = slots;
  }

  /** Begins anew: the server has recovered from a failure. */
  restart(): void {
    this.current = initialSlots(this.slots);
    this.announced = this.current;
  }

  /** Applies an answer; returns true if the announced number has changed. */
  answered({elapsedMs, expectedMs = elapsedMs}: PacedAnswer): boolean {
    if (!this.isStarting) return false;
    const ratio = elapsedMs / Math.max(1, expectedMs);
    if (ratio <= NORMAL_RATIO) {
      this.current += 1;
    } else {
      const sustained = Math.max(this.current, this.slots / ratio);
      this.current = Math.min(sustained, this.current + SLOW_STEP_SLOTS);
    }
    const isFull = this.current >= this.slots;
    if (!isFull && this.current < this.announced * ANNOUNCED_STEP) return false;
    this.announced = Math.min(this.slots, this.current);
    return true;
  }
}

function initialSlots(slots: number): number {
  return Math.min(slots, Math.max(MIN_SLOTS, slots * INITIAL_SHARE));
}
