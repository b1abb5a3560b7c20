/**
 * Chooses the tenants that metrics name; all others count as `other`. Load
 * pattern: thousands of tenants, each of which would be a dozen time series.
 */

/** Label of the tenants that are not named. */
export const OTHER_TENANTS = 'other';
/** Tenants that are named at once. */
const MAX_NAMED = 100;
/** Tenants whose requests are counted to choose among them. */
const MAX_COUNTED = 2_000;
/** Time in ms between two choices; each halves the counts of before. */
const REVIEW_INTERVAL_MS = 60_000;

export class TopTenants {
  private named = new Set<string>();
  private counts = new Map<string, number>();
  private nextReviewMs = -Infinity;

  /** `onDropped`: called for each tenant that is not named any more. */
  constructor(private readonly onDropped: (tenant: string) => void) {}

  /** Counts a request and returns the label for it. */
  labelOf(tenant: string, nowMs: number): string {
    const count = this.counts.get(tenant);
    if (count !== undefined || this.counts.size < MAX_COUNTED) {
      this.counts.set(tenant, (count ?? 0) + 1);
    }
    if (nowMs >= this.nextReviewMs) this.review(nowMs);
    if (!this.named.has(tenant) && this.named.size < MAX_NAMED) {
      this.named.add(tenant);
    }
    return this.named.has(tenant) ? tenant : OTHER_TENANTS;
  }

  private review(nowMs: number): void {
    this.nextReviewMs = nowMs + REVIEW_INTERVAL_MS;
    const sorted = [...this.counts].sort(([, a], [, b]) => b - a);
    const top = sorted.slice(0, MAX_NAMED).map(([tenant]) => tenant);
    const before = this.named;
    this.named = new Set(top);
    for (const tenant of before) {
      if (!this.named.has(tenant)) this.onDropped(tenant);
    }
    const halves = sorted.map(([tenant, n]) => [tenant, n / 2] as const);
    this.counts = new Map(halves.filter(([, count]) => count >= 1));
  }
}
