/** Derives the wait for an answer of a peer from the times of earlier ones. */

/** Weights of a new sample in the mean and in its deviation (RFC 6298). */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** Deviations from the mean after which no answer is expected (RFC 6298). */
const DEVIATIONS = 4;
/** Maximum wait in ms: two of them detect a lost connection within 1.5 s. */
const MAX_WAIT_MS = 500;
/** Time in ms after which samples no longer show the peer's load. */
const VALID_MS = 10_000;

/** Estimates the round trip of one connection. */
export class RoundTripEstimator {
  private meanMs = 0;
  private deviationMs = 0;
  private sampledAtMs = -Infinity;

  /** `minWaitMs`: wait for a peer that answers fast or has no valid samples. */
  constructor(private readonly minWaitMs: number) {}

  /** Adds the round trip in ms of an answered ping. */
  sample(sampleMs: number, nowMs: number): void {
    if (this.hasValidSamples(nowMs)) {
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

  /** Time in ms within which answers usually come; 0 without valid samples. */
  usualMs(nowMs: number): number {
    if (!this.hasValidSamples(nowMs)) return 0;
    return this.meanMs + DEVIATIONS * this.deviationMs;
  }

  /** Wait in ms for a ping that is sent now. */
  waitMs(nowMs: number): number {
    const usualMs = Math.min(MAX_WAIT_MS, this.usualMs(nowMs));
    return Math.max(this.minWaitMs, usualMs);
  }

  private hasValidSamples(nowMs: number): boolean {
    return nowMs - this.sampledAtMs <= VALID_MS;
  }
}
