/** Token bucket that limits a rate and allows bursts. */
export class TokenBucket {
  private tokens: number;
  private refilledAtMs: number;

  /** Creates a full bucket of `burst` tokens, refilled by `perSecond`. */
  constructor(
    private readonly perSecond: number,
    private readonly burst: number,
    nowMs: number,
  ) {
    this.tokens = burst;
    this.refilledAtMs = nowMs;
  }

  /** Takes `count` tokens; returns false and takes none if there are fewer. */
  take(count: number, nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Time in ms from which one token is available. */
  nextAtMs(nowMs: number): number {
    this.refill(nowMs);
    const missing = Math.max(0, 1 - this.tokens);
    return nowMs + (missing / this.perSecond) * 1000;
  }

  private refill(nowMs: number): void {
    const gained =
      (Math.max(0, nowMs - this.refilledAtMs) / 1000) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    this.refilledAtMs = nowMs;
  }
}
