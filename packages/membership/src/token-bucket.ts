/** A token bucket: bounds a rate, and allows a burst. */
export class TokenBucket {
  private tokens: number;
  private atMs: number;

  /** Starts full with `burst` tokens and gains `perSecond`. */
  constructor(
    private readonly perSecond: number,
    private readonly burst: number,
    nowMs: number,
  ) {
    this.tokens = burst;
    this.atMs = nowMs;
  }

  /** Takes `count` tokens if there are as many. */
  take(count: number, nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Time in ms from which one token will be there. */
  nextAtMs(nowMs: number): number {
    this.refill(nowMs);
    const missing = Math.max(0, 1 - this.tokens);
    return nowMs + (missing / this.perSecond) * 1000;
  }

  private refill(nowMs: number): void {
    const gained = (Math.max(0, nowMs - this.atMs) / 1000) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    this.atMs = nowMs;
  }
}
