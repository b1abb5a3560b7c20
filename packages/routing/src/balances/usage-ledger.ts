/**
 * The calls used by each customer, folded from the `usage` stream. Each count is
 * included once, however often it is reported. Missing reports are in the
 * customer's favour: totals never exceed the calls made.
 */

import type {
  CallCounts,
  CheckpointRecord,
  ClosedNode,
  CloseRecord,
  UsageLogRecord,
  UsageRow,
} from './usage-record.js';
import {decodeUsage} from './usage-record.js';

/**
 * Retention time of closed nodes in ms. Rows that started longer ago and belong
 * to no open node are ignored; meters start a new row sooner.
 */
export const CLOSED_RETENTION_MS = 24 * 60 * 60 * 1000;

interface OpenRow {
  incarnation: number;
  calls: Map<string, number>;
}

export class UsageLedger {
  /** Offset of the next record to fold. */
  next = 0;
  /** Sums of ended rows, by customer. */
  private base = new Map<string, number>();
  /** Sums of all rows by customer, including `base`. */
  private readonly totals = new Map<string, number>();
  private readonly rows = new Map<string, OpenRow>();
  private readonly closed = new Map<string, ClosedNode>();
  private streamMs = 0;

  /** Returns the calls counted for a customer: at most the calls made. */
  total(customer: string): number {
    return this.totals.get(customer) ?? 0;
  }

  /** Customers with at least one call. */
  customers(): IterableIterator<string> {
    return this.totals.keys();
  }

  /** Number of open rows and of retained closed nodes. */
  get size(): {rows: number; closed: number} {
    return {rows: this.rows.size, closed: this.closed.size};
  }

  /** Folds one record; records before `next` have been folded already. */
  fold(offset: number, body: string): void {
    if (offset < this.next) return;
    this.next = offset + 1;
    const record = decodeUsage(body);
    if (!record || record.type === 'checkpoint') return;
    if (record.type === 'usage') for (const row of record.rows) this.merge(row);
    else this.close(record);
    this.advanceTime(record);
  }

  /** Continues at `offset`, because the records before it have expired. */
  skipTo(offset: number): void {
    this.next = Math.max(this.next, offset);
  }

  /** Returns the incarnation of a node's open row. */
  openIncarnation(nodeId: string): number | undefined {
    return this.rows.get(nodeId)?.incarnation;
  }

  /** Replaces the state with that of a checkpoint. */
  restore(parts: readonly CheckpointRecord[]): void {
    for (const state of [this.base, this.totals, this.rows, this.closed]) {
      state.clear();
    }
    for (const part of parts) {
      this.next = part.through;
      this.streamMs = part.atMs;
      for (const [customer, calls] of Object.entries(part.base)) {
        add(this.base, customer, calls);
        add(this.totals, customer, calls);
      }
      for (const node of part.closed) this.closed.set(node.nodeId, node);
    }
    for (const {rows} of parts) for (const row of rows) this.openRow(row);
  }

  /** Returns the state as checkpoint parts of at most `rowsPerPart` rows. */
  checkpoint(id: string, rowsPerPart: number): CheckpointRecord[] {
    const rows = [...this.rows].map(([nodeId, row]) => ({
      nodeId,
      incarnation: row.incarnation,
      calls: Object.fromEntries(row.calls),
    }));
    const base = Object.entries(Object.fromEntries(this.base));
    const closed = [...this.closed.values()];
    const longest = Math.max(rows.length, base.length, closed.length, 1);
    const parts = Math.ceil(longest / rowsPerPart);
    return Array.from({length: parts}, (unused, part) => {
      const from = part * rowsPerPart;
      const to = from + rowsPerPart;
      return {
        type: 'checkpoint',
        atMs: this.streamMs,
        id,
        part,
        parts,
        through: this.next,
        base: Object.fromEntries(base.slice(from, to)),
        rows: rows.slice(from, to),
        closed: closed.slice(from, to),
      };
    });
  }

  private merge({nodeId, incarnation, calls}: UsageRow): void {
    const row = this.rows.get(nodeId);
    if (row && incarnation < row.incarnation) return;
    if (!row || incarnation > row.incarnation) {
      if (this.mayBeCounted(nodeId, incarnation)) return;
      if (row) this.addToBase(row);
      this.openRow({nodeId, incarnation, calls});
      return;
    }
    this.raiseCounts(row, calls);
  }

  private openRow({nodeId, incarnation, calls}: UsageRow): void {
    const row: OpenRow = {incarnation, calls: new Map()};
    this.rows.set(nodeId, row);
    this.raiseCounts(row, calls);
  }

  private raiseCounts(row: OpenRow, calls: CallCounts): void {
    for (const [customer, count] of Object.entries(calls)) {
      const added = count - (row.calls.get(customer) ?? 0);
      if (added <= 0) continue;
      row.calls.set(customer, count);
      add(this.totals, customer, added);
    }
  }

  /** True if the sums may already include the counts. */
  private mayBeCounted(nodeId: string, incarnation: number): boolean {
    const closed = this.closed.get(nodeId);
    if (closed) return incarnation <= closed.incarnation;
    return incarnation < this.streamMs - CLOSED_RETENTION_MS;
  }

  private close(record: CloseRecord): void {
    const untilMs = record.atMs + CLOSED_RETENTION_MS;
    for (const {nodeId, incarnation} of record.nodes) {
      const row = this.rows.get(nodeId);
      if (row?.incarnation !== incarnation) continue;
      this.addToBase(row);
      this.rows.delete(nodeId);
      this.closed.set(nodeId, {nodeId, incarnation, untilMs});
    }
  }

  private addToBase(row: OpenRow): void {
    for (const [customer, count] of row.calls) add(this.base, customer, count);
  }

  private advanceTime({atMs}: UsageLogRecord): void {
    this.streamMs = Math.max(this.streamMs, atMs);
    for (const [nodeId, {untilMs}] of this.closed) {
      if (untilMs <= this.streamMs) this.closed.delete(nodeId);
    }
  }
}

/** Assembles checkpoints from their parts while a stream is scanned. */
export class CheckpointAssembler {
  private readonly partsById = new Map<string, CheckpointRecord[]>();
  private newest: CheckpointRecord[] = [];

  /** Parts of the newest complete checkpoint; empty if there is none. */
  get parts(): readonly CheckpointRecord[] {
    return this.newest;
  }

  add(body: string): void {
    const record = decodeUsage(body);
    if (record?.type !== 'checkpoint') return;
    const collectedParts = this.partsById.get(record.id) ?? [];
    if (collectedParts.some(({part}) => part === record.part)) return;
    const parts = [...collectedParts, record];
    this.partsById.set(record.id, parts);
    if (parts.length < record.parts) return;
    this.partsById.delete(record.id);
    const through = this.newest[0]?.through ?? -1;
    if (record.through > through) this.newest = parts;
  }
}

function add(sums: Map<string, number>, customer: string, calls: number): void {
  sums.set(customer, (sums.get(customer) ?? 0) + calls);
}
