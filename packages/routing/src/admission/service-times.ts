/** How long one backend server takes for each class of calls. */

/** Least weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/** Samples that the expectation before the first one counts for. */
const PRIOR_SAMPLES = 1;
/** Assumed time in ms while nothing has been measured; a typical short call. */
const UNKNOWN_SERVICE_MS = 100;

interface Mean {
  ms: number;
  samples: number;
}

/**
 * Moving averages by class. Load pattern: a server whose first call happens to
 * be one of the few long ones; one sample must not make it count as too slow.
 */
export class ServiceTimes {
  private readonly means = new Map<string, Mean>();
  private overallMs = UNKNOWN_SERVICE_MS;

  /** Takes in the time in ms that a call took from its start to its end. */
  record(cls: string, ms: number): void {
    const known = this.means.get(cls) ?? {ms: this.overallMs, samples: 0};
    const share = 1 / (known.samples + PRIOR_SAMPLES + 1);
    const weight = Math.max(SAMPLE_WEIGHT, share);
    const next = known.ms + weight * (ms - known.ms);
    this.means.set(cls, {ms: next, samples: known.samples + 1});
    this.overallMs += SAMPLE_WEIGHT * (ms - this.overallMs);
  }

  /** Expected time in ms for a call of the class. */
  meanMs(cls: string): number {
    return this.means.get(cls)?.ms ?? this.overallMs;
  }

  /** The measured mean in ms; undefined while there is none. */
  measuredMs(cls: string): number | undefined {
    return this.means.get(cls)?.ms;
  }
}
