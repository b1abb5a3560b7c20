/** A rate of events that decays while no samples arrive. */

/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.2;
/** Time in ms after which a rate without samples has fallen by two thirds. */
const RATE_DECAY_MS = 10_000;

/** Moving average of samples between 0 and 1. */
export class DecayingRate {
  private value = 0;
  private updatedAtMs = 0;

  /** The rate at `nowMs`. */
  valueAt(nowMs: number): number {
    return this.value * Math.exp((this.updatedAtMs - nowMs) / RATE_DECAY_MS);
  }

  /** Adds a sample. */
  add(sample: number, nowMs: number): void {
    const current = this.valueAt(nowMs);
    this.value = current + SAMPLE_WEIGHT * (sample - current);
    this.updatedAtMs = nowMs;
  }
}
