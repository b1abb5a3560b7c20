/** Outcomes and latencies of calls by customer and by class. */

import {LatencyHistograms} from '@turmericmill/utils';

import type {CallSummary} from '../admin/index.js';

/**
 * How a call ended for its caller. `not-run`: the request was certainly not
 * run. `unknown`: it may have run.
 */
export type CallEnd = 'answered' | 'not-run' | 'unknown';

type Dimension = 'customer' | 'class';

type Counts = Record<CallEnd, number>;

/** Maximum number of customers, and of classes, with counts of their own. */
const MAX_LABELS = 2000;
/** Label of all customers or classes beyond the maximum. */
const OTHERS_LABEL = 'others';

/** Records every call twice: by customer and by class. */
export class CallStatisticsRecorder {
  private readonly histograms = {
    customer: new LatencyHistograms(),
    class: new LatencyHistograms(),
  };
  private readonly counts = {
    customer: new Map<string, Counts>(),
    class: new Map<string, Counts>(),
  };

  record(
    customer: string,
    className: string,
    end: CallEnd,
    latencyMs: number,
  ): void {
    this.add('customer', customer, end, latencyMs);
    this.add('class', className, end, latencyMs);
  }

  summaries(dimension: Dimension): Record<string, CallSummary> {
    const labels = [...this.counts[dimension].keys()].sort();
    const entries = labels.map(label => {
      const counts = this.counts[dimension].get(label);
      const summary: CallSummary = {
        answered: counts?.answered ?? 0,
        notRun: counts?.['not-run'] ?? 0,
        unknown: counts?.unknown ?? 0,
        latency: this.histograms[dimension].summaryOf(label),
      };
      return [label, summary] as const;
    });
    return Object.fromEntries(entries);
  }

  /** Limits the number of labels, because callers choose the customer names. */
  private add(
    dimension: Dimension,
    name: string,
    end: CallEnd,
    latencyMs: number,
  ): void {
    const all = this.counts[dimension];
    const label = all.has(name) || all.size < MAX_LABELS ? name : OTHERS_LABEL;
    const counts = all.get(label) ?? {answered: 0, 'not-run': 0, unknown: 0};
    counts[end] += 1;
    all.set(label, counts);
    if (end !== 'answered') return;
    this.histograms[dimension].record(label, latencyMs);
  }
}
