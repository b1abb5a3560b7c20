/** Spreads a writer's appends so that the log's rate of appends is kept. */

/** Appends that may follow each other at once after a quiet time. */
const APPEND_BURST = 4;
/** Time in ms that an answer waits for others, and when the rate is used. */
const ANSWER_DELAY_MS = 50;
const MAX_ANSWER_DELAY_MS = 1_000;

export class AppendPacer {
  /** Time in ms at which all appends so far fit in the rate. */
  private paidUntilMs = 0;
  private heartbeatAtMs = 0;
  /** Time in ms since which answers wait. */
  private answersSinceMs = Infinity;

  /**
   * @param intervalMs mean time between two appends of a single writer
   * @param heartbeatMs longest time between two appends
   */
  constructor(
    private readonly intervalMs: number,
    private readonly heartbeatMs: number,
  ) {}

  /** Notes an append; `writers` at once share the rate. */
  appended(writers: number, answersLeft: boolean, nowMs: number): void {
    const costMs = this.intervalMs * Math.max(1, writers);
    this.paidUntilMs = Math.max(nowMs, this.paidUntilMs) + costMs;
    this.heartbeatAtMs = nowMs + this.heartbeatMs;
    this.answersSinceMs = answersLeft ? nowMs : Infinity;
  }

  noteAnswer(nowMs: number): void {
    this.answersSinceMs = Math.min(this.answersSinceMs, nowMs);
  }

  /** Forgets the answers that waited. */
  dropAnswers(): void {
    this.answersSinceMs = Infinity;
  }

  /** Time in ms at which to append; `isUrgent` when claims wait. */
  dueAtMs(isUrgent: boolean): number {
    const allowedAtMs = this.paidUntilMs - APPEND_BURST * this.intervalMs;
    const workAtMs = Math.min(this.answersAtMs, this.heartbeatAtMs);
    return Math.max(isUrgent ? 0 : workAtMs, allowedAtMs);
  }

  /** Answers leave the bursts to claims, unless they wait for long. */
  private get answersAtMs(): number {
    const earliestMs = this.answersSinceMs + ANSWER_DELAY_MS;
    const latestMs = this.answersSinceMs + MAX_ANSWER_DELAY_MS;
    return Math.min(latestMs, Math.max(earliestMs, this.paidUntilMs));
  }
}
