/** Retries that a service may have, as a share of its recent calls. */

/** Time in ms over which unused allowance fades. */
const ALLOWANCE_FADES_MS = 10_000;
/** Allowance in retries before the first call. */
const FIRST_ALLOWANCE = 1;

/**
 * Token balance of one service at one entry node. Each call adds the share
 * that the service allows; each retry takes its cost. Unused tokens fade, so
 * that the balance never exceeds the share of the last seconds' calls.
 */
export class RetryBudget {
  private tokens = FIRST_ALLOWANCE;
  private atMs: number;

  constructor(nowMs: number) {
    this.atMs = nowMs;
  }

  /** Counts a call that is not itself a retry. */
  deposit(percent: number, nowMs: number): void {
    this.fade(nowMs);
    this.tokens += percent / 100;
  }

  /** Takes `cost` tokens; false, and none taken, if there are fewer. */
  withdraw(cost: number, nowMs: number): boolean {
    this.fade(nowMs);
    if (this.tokens < cost) return false;
    this.tokens -= cost;
    return true;
  }

  private fade(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.atMs);
    this.tokens *= Math.exp(-elapsedMs / ALLOWANCE_FADES_MS);
    this.atMs = nowMs;
  }
}
