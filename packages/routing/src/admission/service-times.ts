/** Service times of one backend server by class of calls. */

/** Minimum weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/** Samples that the initial estimate counts for. */
const PRIOR_SAMPLES = 1;
/** Assumed time in ms before the first sample: that of a typical short call. */
const DEFAULT_SERVICE_MS = 100;

interface Mean {
  ms: number;
  samples: number;
}

/**
 * Moving averages of the service times by class. A server whose first call
 * happens to be one of the few long ones must not count as too slow, so the
 * first sample is averaged with an initial estimate.
 */
export class ServiceTimes {
  private readonly means = new Map<string, Mean>();
  private overallMs = DEFAULT_SERVICE_MS;

  /**
   * `expectedMs`: time in ms that other servers take for a class of calls;
   * undefined if unknown.
   */
  constructor(
    private readonly expectedMs: (cls: string) => number | undefined = () =>
      undefined,
  ) {}

  /** Adds the time in ms that a call took from its start to its end. */
  record(cls: string, ms: number): void {
    const mean = this.means.get(cls) ?? {ms: this.meanMs(cls), samples: 0};
    const sampleShare = 1 / (mean.samples + PRIOR_SAMPLES + 1);
    const weight = Math.max(SAMPLE_WEIGHT, sampleShare);
    const updatedMs = mean.ms + weight * (ms - mean.ms);
    this.means.set(cls, {ms: updatedMs, samples: mean.samples + 1});
    this.overallMs += SAMPLE_WEIGHT * (ms - this.overallMs);
  }

  /** Expected time in ms for a call of the class. */
  meanMs(cls: string): number {
    return this.means.get(cls)?.ms ?? this.expectedMs(cls) ?? this.overallMs;
  }

  /** The measured mean in ms of the class; undefined before any sample. */
  measuredMs(cls: string): number | undefined {
    return this.means.get(cls)?.ms;
  }
}
