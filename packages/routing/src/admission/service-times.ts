/** How long one backend server takes for each class of calls. */

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/** Assumed time in ms while nothing has been measured; a typical short call. */
const UNKNOWN_SERVICE_MS = 100;

/** Moving averages by class. */
export class ServiceTimes {
  private readonly means = new Map<string, number>();
  private overall = UNKNOWN_SERVICE_MS;

  /** Takes in the time in ms that a call took from its start to its end. */
  record(cls: string, ms: number): void {
    this.overall += SAMPLE_WEIGHT * (ms - this.overall);
    const known = this.means.get(cls);
    const next =
      known === undefined ? ms : known + SAMPLE_WEIGHT * (ms - known);
    this.means.set(cls, next);
  }

  /** Expected time in ms for a call of the class. */
  meanMs(cls: string): number {
    return this.means.get(cls) ?? this.overall;
  }

  /** The measured mean in ms; undefined while there is none. */
  knownMs(cls: string): number | undefined {
    return this.means.get(cls);
  }
}
