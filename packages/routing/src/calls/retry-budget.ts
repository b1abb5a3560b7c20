/** Retries that a service may have, as a share of its recent calls. */

/** Time in ms over which unused tokens fade. */
const TOKENS_FADE_MS = 10_000;
/** Tokens kept in reserve, for services that are seldom called. */
const RESERVE_TOKENS = 2;
/** Time in ms in which an empty reserve is filled. */
const RESERVE_FILL_MS = 60_000;

/**
 * Token balance of one service at one entry node. Each call adds the share
 * that the service allows; each retry takes its cost. Unused tokens fade, so
 * that the balance never exceeds the share of the last seconds' calls. A small
 * reserve fills slowly by itself.
 */
export class RetryBudget {
  private earned = 0;
  private reserve = RESERVE_TOKENS;
  private atMs: number;

  constructor(nowMs: number) {
    this.atMs = nowMs;
  }

  /** Counts a call that is not itself a retry. No percent: no retries. */
  deposit(percent: number, nowMs: number): void {
    this.advance(nowMs);
    this.earned += percent / 100;
    if (percent === 0) this.reserve = 0;
  }

  /** Takes `cost` tokens; false, and none taken, if there are fewer. */
  withdraw(cost: number, nowMs: number): boolean {
    this.advance(nowMs);
    if (this.earned + this.reserve < cost) return false;
    const fromEarned = Math.min(cost, this.earned);
    this.earned -= fromEarned;
    this.reserve -= cost - fromEarned;
    return true;
  }

  private advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.atMs);
    this.earned *= Math.exp(-elapsedMs / TOKENS_FADE_MS);
    const filled = (RESERVE_TOKENS * elapsedMs) / RESERVE_FILL_MS;
    this.reserve = Math.min(RESERVE_TOKENS, this.reserve + filled);
    this.atMs = nowMs;
  }
}
