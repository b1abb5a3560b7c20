/** How long to wait for an answer of a peer, by the times of earlier ones. */

/** Shares of a new sample in the mean and in its deviation (RFC 6298). */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** Deviations from the mean after which no answer is expected (RFC 6298). */
const DEVIATIONS = 4;
/** Longest wait in ms: two of them find a lost connection within 1.5 s. */
const MAX_WAIT_MS = 500;
/** Time in ms after which the samples tell nothing of the peer's load. */
const VALID_MS = 10_000;

/** One instance for each connection. */
export class RoundTripEstimator {
  private meanMs = 0;
  private deviationMs = 0;
  private sampledAtMs = -Infinity;

  /** `minWaitMs`: wait for a peer that answers fast or is not known. */
  constructor(private readonly minWaitMs: number) {}

  /** A ping was answered after `sampleMs`. */
  sample(sampleMs: number, nowMs: number): void {
    if (this.isKnown(nowMs)) {
      const errorMs = sampleMs - this.meanMs;
      this.deviationMs +=
        DEVIATION_GAIN * (Math.abs(errorMs) - this.deviationMs);
      this.meanMs += MEAN_GAIN * errorMs;
    } else {
      this.meanMs = sampleMs;
      this.deviationMs = sampleMs / 2;
    }
    this.sampledAtMs = nowMs;
  }

  /** Time in ms within which answers usually come; 0 if it is not known. */
  usualMs(nowMs: number): number {
    if (!this.isKnown(nowMs)) return 0;
    return this.meanMs + DEVIATIONS * this.deviationMs;
  }

  /** Wait in ms for a ping that is sent now. */
  waitMs(nowMs: number): number {
    const usualMs = Math.min(MAX_WAIT_MS, this.usualMs(nowMs));
    return Math.max(this.minWaitMs, usualMs);
  }

  private isKnown(nowMs: number): boolean {
    return nowMs - this.sampledAtMs <= VALID_MS;
  }
}
