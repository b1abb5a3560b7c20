/** Paces a writer's appends so that they keep within the log's append rate. */

/** Maximum number of appends in a burst after an idle period. */
const APPEND_BURST = 4;
/**
 * Delay in ms for which answers wait to share a batch: the usual one, and the
 * maximum when the rate is used up.
 */
const ANSWER_DELAY_MS = 50;
const MAX_ANSWER_DELAY_MS = 1_000;

export class AppendPacer {
  /** Time in ms by which all appends so far conform to the rate. */
  private conformsAtMs = 0;
  private heartbeatAtMs = 0;
  /** Time in ms since which answers have been waiting; infinite if none are. */
  private answersSinceMs = Infinity;

  /**
   * @param intervalMs mean time in ms between two appends of a single writer
   * @param heartbeatMs maximum time in ms between two appends
   */
  constructor(
    private readonly intervalMs: number,
    private readonly heartbeatMs: number,
  ) {}

  /** Records an append; the rate is shared by `writers` active writers. */
  recordAppend(writers: number, answersRemain: boolean, nowMs: number): void {
    const costMs = this.intervalMs * Math.max(1, writers);
    this.conformsAtMs = Math.max(nowMs, this.conformsAtMs) + costMs;
    this.heartbeatAtMs = nowMs + this.heartbeatMs;
    this.answersSinceMs = answersRemain ? nowMs : Infinity;
  }

  recordAnswer(nowMs: number): void {
    this.answersSinceMs = Math.min(this.answersSinceMs, nowMs);
  }

  /** Stops waiting for an append of the recorded answers. */
  clearAnswers(): void {
    this.answersSinceMs = Infinity;
  }

  /** Time in ms of the next append; `isUrgent` if claims or releases wait. */
  nextAppendAtMs(isUrgent: boolean): number {
    const allowedAtMs = this.conformsAtMs - APPEND_BURST * this.intervalMs;
    const workAtMs = Math.min(this.answersAtMs, this.heartbeatAtMs);
    return Math.max(isUrgent ? 0 : workAtMs, allowedAtMs);
  }

  /**
   * Time in ms at which waiting answers are due. They leave bursts to claims
   * until their maximum delay has passed.
   */
  private get answersAtMs(): number {
    const earliestMs = this.answersSinceMs + ANSWER_DELAY_MS;
    const latestMs = this.answersSinceMs + MAX_ANSWER_DELAY_MS;
    return Math.min(latestMs, Math.max(earliestMs, this.conformsAtMs));
  }
}
