/**
 * Forecasts how long the answer of a call takes to leave its host. Load pattern:
 * the server beside a node produces long answers several times as fast as the
 * link passes them on. Slots are free, so that all calls would run, and their
 * answers would wait at the link until their callers have left.
 */

/** Weight of a new answer in the mean size of its class. */
const SAMPLE_WEIGHT = 0.1;

/** Link of a host, and the answers in front of it. */
export abstract class AnswerLink {
  /** Bytes that the link passes on in a ms. */
  abstract readonly bytesPerMs: number;
  /** Up to this size in bytes, answers do not wait for the link. */
  abstract readonly shortBytes: number;
  /** Bytes of complete answers that wait for the link. */
  abstract waitingBytes(): number;
}

export class ReturnForecast {
  private readonly meanBytes = new Map<string, number>();

  constructor(private readonly link: AnswerLink) {}

  /** Records the size of an answer to a call of a class. */
  recordAnswer(cls: string, bytes: number): void {
    const mean = this.meanBytes.get(cls) ?? bytes;
    this.meanBytes.set(cls, mean + SAMPLE_WEIGHT * (bytes - mean));
  }

  /**
   * Returns the time in ms from the end of a call until the link has passed on
   * its answer; 0 for a class of short answers. `running`: classes of the calls
   * that run now, whose answers go first. `serviceMs`: expected time of the call,
   * in which the link passes on some of them.
   */
  returnMs(cls: string, running: readonly string[], serviceMs: number): number {
    const {bytesPerMs, shortBytes} = this.link;
    const ownBytes = this.longBytes(cls);
    if (ownBytes <= shortBytes) return 0;
    const runningBytes = running.reduce(
      (sum, one) => sum + this.longBytes(one),
      0,
    );
    const aheadMs = (this.link.waitingBytes() + runningBytes) / bytesPerMs;
    return Math.max(0, aheadMs - serviceMs) + ownBytes / bytesPerMs;
  }

  private longBytes(cls: string): number {
    const bytes = this.meanBytes.get(cls) ?? 0;
    return bytes > this.link.shortBytes ? bytes : 0;
  }
}
