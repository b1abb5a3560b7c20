/**
 * How much longer than usual a message was in transit. A full link or a starved
 * node may delay calls by a second; the remaining time that they state is then
 * too long, and their callers may have left.
 *
 * The monotonic clocks of two nodes have no common zero: only the minimum
 * difference seen on a connection shows what is usual.
 */

/** Time in ms for which the minimum difference is kept. */
const WINDOW_MS = 4_000;
/** Maximum delay in ms that is reported: a paused clock looks like a delay. */
const MAX_EXCESS_MS = 2_000;

/** One instance for each connection on which messages arrive. */
export class TransitDelay {
  private previousMinMs = Infinity;
  private currentMinMs = Infinity;
  private windowStartMs = -Infinity;

  /**
   * Records a message that was sent at `sentMs` by the sender's clock and read
   * at `nowMs` by this node's clock. Returns its delay in ms beyond the usual.
   */
  excessMs(sentMs: number, nowMs: number): number {
    if (nowMs - this.windowStartMs > WINDOW_MS) {
      this.previousMinMs = this.currentMinMs;
      this.currentMinMs = Infinity;
      this.windowStartMs = nowMs;
    }
    const differenceMs = nowMs - sentMs;
    this.currentMinMs = Math.min(this.currentMinMs, differenceMs);
    const usualMs = Math.min(this.previousMinMs, this.currentMinMs);
    return Math.min(MAX_EXCESS_MS, differenceMs - usualMs);
  }
}
