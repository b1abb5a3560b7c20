/** Counts calls of one node by customer, and selects the counts to report. */

import type {CallCounts, UsageRow} from './usage-record.js';

export interface UsageMeterOptions {
  nodeId: string;
  /** Time in ms between reports of all changed counts. */
  reportIntervalMs: number;
  /** Time in ms between reports for customers near their limit. */
  nearLimitIntervalMs: number;
  /**
   * Time in ms after which the meter starts a new row, because its old one may
   * have been closed and later counts would not be included. It restarts at
   * each call of `takeDueRow` after a report interval has ended, also if no
   * count has changed, so that it passes only while `takeDueRow` is not called,
   * as on a paused host. Longer than the report intervals.
   */
  rolloverMs: number;
  /** Maximum age of a row in ms; less than `CLOSED_RETENTION_MS`. */
  maxRowAgeMs: number;
}

export class UsageMeter {
  private readonly counts = new Map<string, number>();
  private readonly changed = new Set<string>();
  private readonly reported = new Map<string, number>();
  private incarnation: number;
  private reportAtMs: number;
  private nearLimitAtMs: number;
  private rolloverAtMs: number;

  constructor(
    private readonly options: UsageMeterOptions,
    nowMs: number,
  ) {
    this.incarnation = nowMs;
    this.reportAtMs = nowMs + options.reportIntervalMs;
    this.nearLimitAtMs = nowMs + options.nearLimitIntervalMs;
    this.rolloverAtMs = nowMs + options.rolloverMs;
  }

  /** Counts one call that was forwarded to a backend server. */
  count(customer: string): void {
    this.counts.set(customer, (this.counts.get(customer) ?? 0) + 1);
    this.changed.add(customer);
  }

  /** Returns the row to report now, or undefined if none is due. */
  takeDueRow(
    isNearLimit: (customer: string) => boolean,
    nowMs: number,
  ): UsageRow | undefined {
    const endAtMs = this.incarnation + this.options.maxRowAgeMs;
    if (nowMs >= Math.min(this.rolloverAtMs, endAtMs)) this.startRow(nowMs);
    const includesAll = nowMs >= this.reportAtMs;
    if (!includesAll && nowMs < this.nearLimitAtMs) return undefined;
    const {reportIntervalMs, nearLimitIntervalMs, rolloverMs} = this.options;
    this.nearLimitAtMs = nowMs + nearLimitIntervalMs;
    this.rolloverAtMs = nowMs + rolloverMs;
    if (includesAll) this.reportAtMs = nowMs + reportIntervalMs;
    const customers = [...this.changed].filter(
      c => includesAll || isNearLimit(c),
    );
    return customers.length > 0 ? this.rowOf(customers) : undefined;
  }

  /** Returns all unreported counts, for a node that stops. */
  takeFinalRow(): UsageRow | undefined {
    return this.changed.size > 0 ? this.rowOf([...this.changed]) : undefined;
  }

  /**
   * Marks all counts for another report. After a change of the collector, earlier
   * reports are assumed to be lost.
   */
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

  /** Starts a new row with the counts that the old row has not reported. */
  private startRow(nowMs: number): void {
    for (const [customer, count] of this.counts) {
      const unreported = count - (this.reported.get(customer) ?? 0);
      this.counts.set(customer, unreported);
      if (unreported === 0) this.counts.delete(customer);
    }
    this.reported.clear();
    this.incarnation = nowMs;
  }
}
