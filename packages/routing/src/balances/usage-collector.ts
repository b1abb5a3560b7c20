/**
 * Collects the rows of a region's nodes into log records. Concurrent collectors
 * and repeated records are harmless, because rows are merged by the highest
 * count.
 */

import {rendezvousTop} from '@turmericmill/utils';

import type {UsageRow} from './usage-record.js';

export interface UsageCollectorOptions {
  /** Minimum time in ms between two appends. */
  appendIntervalMs: number;
  maxRecordBytes: number;
  /** Maximum number of pending rows; further rows are dropped. */
  maxRows: number;
}

/** Bytes of a record that are reserved for its head. */
const HEAD_BYTES = 256;

export class UsageCollector {
  private readonly pending = new Map<string, UsageRow>();
  private appending: UsageRow[] = [];
  private appendAtMs = 0;

  constructor(private readonly options: UsageCollectorOptions) {}

  /** Number of pending rows. */
  get size(): number {
    return this.pending.size;
  }

  /** Merges a node's report into the pending rows. */
  add({nodeId, incarnation, calls}: UsageRow): void {
    const key = rowKey({nodeId, incarnation});
    const pendingRow = this.pending.get(key);
    if (!pendingRow && this.pending.size >= this.options.maxRows) return;
    if (!pendingRow) {
      this.pending.set(key, {nodeId, incarnation, calls: {...calls}});
      return;
    }
    for (const [customer, count] of Object.entries(calls)) {
      const highest = Math.max(pendingRow.calls[customer] ?? 0, count);
      pendingRow.calls[customer] = highest;
    }
  }

  /**
   * Returns the body of the record to append now, if one is due. The next record
   * is returned only after `handleAppend`.
   */
  takeDueRecord(nowMs: number): string | undefined {
    if (nowMs < this.appendAtMs || this.appending.length > 0) return undefined;
    if (this.pending.size === 0) return undefined;
    this.appendAtMs = nowMs + this.options.appendIntervalMs;
    const encoded = this.takeRows();
    return `{"type":"usage","atMs":${nowMs},"rows":[${encoded.join(',')}]}`;
  }

  /** Handles the result of an append; rows that may be lost are queued again. */
  handleAppend(succeeded: boolean): void {
    const rows = this.appending;
    this.appending = [];
    if (!succeeded) for (const row of rows) this.add(row);
  }

  private takeRows(): string[] {
    const encoded: string[] = [];
    let bytes = HEAD_BYTES;
    for (const [key, row] of this.pending) {
      const text = JSON.stringify(row);
      bytes += Buffer.byteLength(text) + 1;
      if (bytes > this.options.maxRecordBytes && encoded.length > 0) break;
      encoded.push(text);
      this.appending.push(row);
      this.pending.delete(key);
    }
    return encoded;
  }
}

function rowKey({nodeId, incarnation}: Omit<UsageRow, 'calls'>): string {
  return `${nodeId} ${incarnation}`;
}

/** Selects the member of a region that collects its nodes' usage. */
export function selectUsageCollector(
  region: string,
  members: readonly string[],
): string | undefined {
  return rendezvousTop(`usage-${region}`, members, 1)[0];
}
