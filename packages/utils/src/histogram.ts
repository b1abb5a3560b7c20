/** Latency histograms by label, such as a customer or a class. */

import {build, type Histogram} from 'hdr-histogram-js';

/** Maximum latency recorded, in microseconds; higher ones are clamped to it. */
const HIGHEST_LATENCY_US = 600_000_000;

/** Statistics of one histogram. */
export interface LatencySummary {
  count: number;
  meanMs: number;
  p50Ms: number;
  p90Ms: number;
  p99Ms: number;
  p999Ms: number;
  maxMs: number;
}

/** One latency histogram per label. */
export class LatencyHistograms {
  private readonly histograms = new Map<string, Histogram>();

  record(label: string, latencyMs: number): void {
    let histogram = this.histograms.get(label);
    if (!histogram) {
      histogram = build({
        highestTrackableValue: HIGHEST_LATENCY_US,
        numberOfSignificantValueDigits: 2,
        autoResize: true,
        bitBucketSize: 32,
      });
      this.histograms.set(label, histogram);
    }
    const valueUs = Math.max(0, Math.round(latencyMs * 1000));
    histogram.recordValue(Math.min(valueUs, HIGHEST_LATENCY_US));
  }

  /** Returns the summaries of all labels, sorted by label. */
  summaries(): Record<string, LatencySummary> {
    const labels = [...this.histograms.keys()].sort();
    return Object.fromEntries(
      labels.map(label => [label, this.summaryOf(label)]),
    );
  }

  /** Returns the summary of a label; all zero if nothing was recorded. */
  summaryOf(label: string): LatencySummary {
    const histogram = this.histograms.get(label);
    const percentileMs = (percentile: number) =>
      (histogram?.getValueAtPercentile(percentile) ?? 0) / 1000;
    return {
      count: histogram?.totalCount ?? 0,
      meanMs: (histogram?.mean ?? 0) / 1000,
      p50Ms: percentileMs(50),
      p90Ms: percentileMs(90),
      p99Ms: percentileMs(99),
      p999Ms: percentileMs(99.9),
      maxMs: percentileMs(100),
    };
  }
}
