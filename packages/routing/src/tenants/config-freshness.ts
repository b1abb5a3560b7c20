/**
 * Decides whether the configuration in force is young enough to confirm keys.
 * Load pattern: a host loses the store and its peers, or is suspended, while a
 * key is revoked elsewhere.
 */

/**
 * Share of the revocation's bound after which a configuration confirms no key.
 * The rest is for errors of the age; docs/design/tenants.md has their sum.
 */
const FRESH_SHARE = 0.7;

export class ConfigFreshness {
  /** Age in ms from which the configuration is stale; Infinity: never. */
  readonly limitMs: number;
  private confirmedMs = -Infinity;

  /** `revokeMs`: bound of a revocation in ms; undefined if it is not strict. */
  constructor(revokeMs: number | undefined) {
    this.limitMs = revokeMs === undefined ? Infinity : revokeMs * FRESH_SHARE;
  }

  get isStrict(): boolean {
    return this.limitMs < Infinity;
  }

  /** Records that the store had no version after the one in force at `ms`. */
  confirm(ms: number): void {
    this.confirmedMs = Math.max(this.confirmedMs, ms);
  }

  /** Time in ms since the last confirmation; Infinity before any. */
  ageMs(nowMs: number): number {
    return nowMs - this.confirmedMs;
  }

  isFresh(nowMs: number): boolean {
    return !this.isStrict || this.ageMs(nowMs) < this.limitMs;
  }
}
