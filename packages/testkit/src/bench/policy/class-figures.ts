/** Counts and latencies of one class of calls. */

/** Figures of one class over the measured interval. */
export interface ClassSummary {
  /** Calls per second answered without an error before their deadline. */
  goodput: number;
  /** Share of calls answered without an error before their deadline. */
  goodShare: number;
  /** Share of calls refused; none of them was run. */
  refusedShare: number;
  /** Share of calls that failed, were late or have an unknown outcome. */
  failedShare: number;
  /** Quantiles of the latency of `good` calls, in ms. */
  p50Ms: number;
  p99Ms: number;
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

/** Counts how the calls of one class ended. */
export class ClassFigures {
  private offeredCount = 0;
  private refusedCount = 0;
  private failedCount = 0;
  private readonly latenciesMs: number[] = [];

  /** Counts a new call. */
  recordOffered(): void {
    this.offeredCount++;
  }

  /** Counts the end of a call; records the latency of a `good` one. */
  recordEnd(kind: 'good' | 'failed' | 'refused', latencyMs: number): void {
    if (kind === 'good') this.latenciesMs.push(latencyMs);
    if (kind === 'refused') this.refusedCount++;
    if (kind === 'failed') this.failedCount++;
  }

  summary(measuredMs: number): ClassSummary {
    const sorted = this.latenciesMs.sort((a, b) => a - b);
    const quantile = (share: number) =>
      sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
    return {
      goodput: round((sorted.length / measuredMs) * 1_000, 1),
      goodShare: this.share(sorted.length),
      refusedShare: this.share(this.refusedCount),
      failedShare: this.share(this.failedCount),
      p50Ms: round(quantile(0.5), 1),
      p99Ms: round(quantile(0.99), 1),
    };
  }

  private share(count: number): number {
    return round(count / Math.max(1, this.offeredCount), 4);
  }
}
