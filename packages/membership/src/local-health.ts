/**
 * Local health: how reliable a node's own observations are. To a node that is
 * slow, paused or cut off, all other nodes seem to fail, so its timeouts grow
 * before it suspects others. The score is 0 for a healthy node and rises with
 * each sign that the node itself may be at fault.
 */

/** Maximum score; timeouts grow by a factor of up to `MAX_SCORE + 1`. */
const MAX_SCORE = 7;

/** Time in ms between ticks above which this process counts as paused. */
const PAUSE_THRESHOLD_MS = 400;

/** Time in ms without messages after which this node may be cut off. */
const ISOLATION_MS = 1_000;

/** Score added for a failed probe during which no message was received. */
const ISOLATED_FAILURE_WEIGHT = 2;

export class LocalHealth {
  private score = 0;
  private lastTickMs: number | undefined;
  private lastReceivedMs = 0;
  private lastIsolatedFailureMs = 0;

  /** Factor by which timeouts are extended; 1 for a healthy node. */
  get timeoutFactor(): number {
    return this.score + 1;
  }

  /** True once the score has reached its maximum. */
  get hasMaxScore(): boolean {
    return this.score >= MAX_SCORE;
  }

  /** Records a tick; returns the length in ms of a pause before it, or 0. */
  tick(nowMs: number): number {
    const sinceMs = nowMs - (this.lastTickMs ?? nowMs);
    this.lastTickMs = nowMs;
    if (sinceMs <= PAUSE_THRESHOLD_MS) return 0;
    this.degrade(2);
    return sinceMs;
  }

  /** Records a message from any member. */
  recordMessage(nowMs: number): void {
    this.lastReceivedMs = nowMs;
  }

  hasReceivedSince(timeMs: number): boolean {
    return this.lastReceivedMs >= timeMs;
  }

  /**
   * True if no message has arrived for more than `ISOLATION_MS`. False again at
   * the maximum score, so that an isolated node finally declares the others
   * dead.
   */
  isIsolated(nowMs: number): boolean {
    return !this.hasMaxScore && nowMs - this.lastReceivedMs > ISOLATION_MS;
  }

  /** Records that a probe was acknowledged in time. */
  recordSuccess(): void {
    this.score = Math.max(0, this.score - 1);
  }

  /**
   * Records that a probe, sent at `startedAtMs`, failed and that no message was
   * received meanwhile. Of concurrent probes, only the first failure counts.
   */
  recordIsolatedFailure(startedAtMs: number, nowMs: number): void {
    if (startedAtMs < this.lastIsolatedFailureMs) return;
    this.lastIsolatedFailureMs = nowMs;
    this.degrade(ISOLATED_FAILURE_WEIGHT);
  }

  /** Raises the score after a sign that this node may be at fault. */
  degrade(by = 1): void {
    this.score = Math.min(MAX_SCORE, this.score + by);
  }
}
