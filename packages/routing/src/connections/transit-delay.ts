/**
 * How long a message was under way beyond the usual. Load pattern: a full link
 * or a starved node holds calls for a second; what they say of their time left
 * is then too much, and their callers may have gone.
 *
 * The steady clocks of two nodes have no common zero: only the least difference
 * seen over a connection tells what is usual.
 */

/** Time in ms for which the least difference is remembered. */
const WINDOW_MS = 4_000;
/** Longest delay in ms that is believed; a paused clock looks like one. */
const MAX_EXCESS_MS = 2_000;

/** One instance for each connection that messages come over. */
export class TransitDelay {
  private beforeMs = Infinity;
  private currentMs = Infinity;
  private sinceMs = -Infinity;

  /**
   * Takes in a message that was sent at `sentMs` by the sender's clock and read
   * at `nowMs` by the own one. Returns its delay in ms beyond the usual.
   */
  excessMs(sentMs: number, nowMs: number): number {
    if (nowMs - this.sinceMs > WINDOW_MS) {
      this.beforeMs = this.currentMs;
      this.currentMs = Infinity;
      this.sinceMs = nowMs;
    }
    const differenceMs = nowMs - sentMs;
    this.currentMs = Math.min(this.currentMs, differenceMs);
    const usualMs = Math.min(this.beforeMs, this.currentMs);
    return Math.min(MAX_EXCESS_MS, differenceMs - usualMs);
  }
}
