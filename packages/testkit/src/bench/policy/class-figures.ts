/** Counts and latencies of one class of calls. */

/** Figures of one class over the measured time. */
export interface ClassSummary {
  /** Calls for each second answered well within their deadline. */
  goodput: number;
  /** Share of calls answered well. */
  goodShare: number;
  /** Share of calls refused, all of them not run. */
  refusedShare: number;
  /** Share of calls that failed, ran late or have an unknown outcome. */
  failedShare: number;
  p50Ms: number;
  p99Ms: number;
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

/** Collects the ends of calls. */
export class ClassFigures {
  private offered = 0;
  private refused = 0;
  private failed = 0;
  private readonly latenciesMs: number[] = [];

  /** A call has come from its caller. */
  offer(): void {
    this.offered++;
  }

  /** A call has ended; its latency counts if it was answered well. */
  end(kind: 'good' | 'failed' | 'refused', latencyMs: number): void {
    if (kind === 'good') this.latenciesMs.push(latencyMs);
    if (kind === 'refused') this.refused++;
    if (kind === 'failed') this.failed++;
  }

  summary(measuredMs: number): ClassSummary {
    const sorted = this.latenciesMs.sort((a, b) => a - b);
    const quantile = (share: number) =>
      sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
    return {
      goodput: round((sorted.length / measuredMs) * 1_000, 1),
      goodShare: this.share(sorted.length),
      refusedShare: this.share(this.refused),
      failedShare: this.share(this.failed),
      p50Ms: round(quantile(0.5), 1),
      p99Ms: round(quantile(0.99), 1),
    };
  }

  private share(count: number): number {
    return round(count / Math.max(1, this.offered), 4);
  }
}
