/** Counts calls of one node by customer, and tells which counts to report. */

import type {CallCounts, UsageRow} from './usage-record.js';

export interface UsageMeterOptions {
  nodeId: string;
  /** Time in ms between reports of all changed counts. */
  reportIntervalMs: number;
  /** Time in ms between reports for customers that are near their limit. */
  nearLimitIntervalMs: number;
  /**
   * Time in ms without a report after which this node may have been closed:
   * it then starts a new row, so that its later counts are taken.
   */
  rolloverMs: number;
  /** Time in ms after which a row is ended; below `REMEMBER_CLOSED_MS`. */
  maxRowAgeMs: number;
}

export class UsageMeter {
  private readonly counts = new Map<string, number>();
  private readonly changed = new Set<string>();
  private readonly reported = new Map<string, number>();
  private incarnation: number;
  private reportAtMs: number;
  private nearAtMs: number;
  private rolloverAtMs: number;

  constructor(
    private readonly options: UsageMeterOptions,
    nowMs: number,
  ) {
    this.incarnation = nowMs;
    this.reportAtMs = nowMs + options.reportIntervalMs;
    this.nearAtMs = nowMs + options.nearLimitIntervalMs;
    this.rolloverAtMs = nowMs + options.rolloverMs;
  }

  /** Counts one call that was passed to a backend server. */
  count(customer: string): void {
    this.counts.set(customer, (this.counts.get(customer) ?? 0) + 1);
    this.changed.add(customer);
  }

  /** The row to report now, or undefined when none is due. */
  takeDueRow(
    isNear: (customer: string) => boolean,
    nowMs: number,
  ): UsageRow | undefined {
    const endAtMs = this.incarnation + this.options.maxRowAgeMs;
    if (nowMs >= Math.min(this.rolloverAtMs, endAtMs)) this.rollOver(nowMs);
    const isFull = nowMs >= this.reportAtMs;
    if (!isFull && nowMs < this.nearAtMs) return undefined;
    const {reportIntervalMs, nearLimitIntervalMs, rolloverMs} = this.options;
    this.nearAtMs = nowMs + nearLimitIntervalMs;
    this.rolloverAtMs = nowMs + rolloverMs;
    if (isFull) this.reportAtMs = nowMs + reportIntervalMs;
    const customers = [...this.changed].filter(c => isFull || isNear(c));
    return customers.length > 0 ? this.rowOf(customers) : undefined;
  }

  /** All counts that are not reported yet, for a node that stops. */
  takeFinalRow(): UsageRow | undefined {
    return this.changed.size > 0 ? this.rowOf([...this.changed]) : undefined;
  }

  /** Reports are taken as lost when the collector changed. */
  markAllChanged(): void {
    for (const customer of this.counts.keys()) this.changed.add(customer);
  }

  private rowOf(customers: readonly string[]): UsageRow {
    const calls: CallCounts = {};
    for (const customer of customers) {
      const count = this.counts.get(customer) ?? 0;
      calls[customer] = count;
      this.reported.set(customer, count);
      this.changed.delete(customer);
    }
    return {nodeId: this.options.nodeId, incarnation: this.incarnation, calls};
  }

  /** Goes on in a new row with what the old one has not reported. */
  private rollOver(nowMs: number): void {
    for (const [customer, count] of this.counts) {
      const left = count - (this.reported.get(customer) ?? 0);
      this.counts.set(customer, left);
      if (left === 0) this.counts.delete(customer);
    }
    this.reported.clear();
    this.incarnation = nowMs;
  }
}
