/** Limits the retries of a service to a share of its recent calls. */

/** Time constant in ms of the exponential decay of unused tokens. */
const TOKEN_DECAY_MS = 10_000;
/** Maximum number of reserve tokens, for services that are seldom called. */
const RESERVE_TOKENS = 2;
/** Time in ms in which an empty reserve refills. */
const RESERVE_FILL_MS = 60_000;

/**
 * Token balance of one service at one entry node. Each call adds the share
 * that the service allows, and each retry withdraws its cost. Unused tokens
 * decay, so the balance never exceeds the share of the last seconds' calls. A
 * small reserve refills slowly over time.
 */
export class RetryBudget {
  private earned = 0;
  private reserve = RESERVE_TOKENS;
  private updatedAtMs: number;

  constructor(nowMs: number) {
    this.updatedAtMs = nowMs;
  }

  /**
   * Adds the share of a call that is not itself a retry. At 0 percent no retry
   * is allowed: the reserve is emptied.
   */
  deposit(percent: number, nowMs: number): void {
    this.advance(nowMs);
    this.earned += percent / 100;
    if (percent === 0) this.reserve = 0;
  }

  /** Withdraws `cost` tokens; false, with none withdrawn, if there are fewer. */
  withdraw(cost: number, nowMs: number): boolean {
    this.advance(nowMs);
    if (this.earned + this.reserve < cost) return false;
    const fromEarned = Math.min(cost, this.earned);
    this.earned -= fromEarned;
    this.reserve -= cost - fromEarned;
    return true;
  }

  private advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.earned *= Math.exp(-elapsedMs / TOKEN_DECAY_MS);
    const filled = (RESERVE_TOKENS * elapsedMs) / RESERVE_FILL_MS;
    this.reserve = Math.min(RESERVE_TOKENS, this.reserve + filled);
    this.updatedAtMs = nowMs;
  }
}
