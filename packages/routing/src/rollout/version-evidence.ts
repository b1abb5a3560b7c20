/**
 * Evidence on the versions of one service while an order is in force.
 *
 * Load pattern: a bad version beside ordinary traffic and platform faults. The
 * node of each server counts, as it sees every call that reaches the server and
 * how long the server itself took; faults of links do not enter the counts.
 */

import type {LatencyCounts} from './latency-counts.js';
import {combineLatencies, latencyBucket} from './latency-counts.js';

/** `new`: servers of the order's target version; `old`: all others. */
export type VersionSide = 'old' | 'new';

/**
 * How a request ended at a server. `answered`: whole answer below 500.
 * `failed`: 5xx. `unproven`: connection lost or deadline passed without a whole
 * answer. `refused`: the server accepted no connection or turned the request
 * away. What the caller cancelled is counted in `requests` only.
 */
export type EvidenceOutcome = 'answered' | 'failed' | 'unproven' | 'refused';

/** Cumulative counts of one side and class. Plain data. */
export interface VersionCounts {
  /** Class of the calls; one key for each route where routes can differ. */
  class: string;
  side: VersionSide;
  /** Requests passed on to servers, ended or not. */
  requests: number;
  answered: number;
  failed: number;
  unproven: number;
  refused: number;
  /**
   * Time from passing a request on to the first byte of its answer, for
   * `answered` ones, from servers that are ready for `COLD_MS` or longer.
   */
  latencies: LatencyCounts;
  /** As `latencies`, from servers that are ready for less. */
  coldLatencies: LatencyCounts;
}

/**
 * Report of one node, sent to the coordinator every 500 ms. Its counts are
 * cumulative since the node learned of the order, so that a lost report costs
 * nothing and a doubled one changes nothing.
 */
export interface NodeEvidence {
  service: string;
  /** Offset of the order's record. */
  orderOffset: number;
  nodeId: string;
  /** Incarnation of the node; counts start at 0 with each. */
  incarnation: number;
  /** Grows with each report of an incarnation. */
  sequence: number;
  rows: readonly VersionCounts[];
}

/** What ended in one interval, summed over nodes. */
export interface EvidenceSlice {
  startMs: number;
  rows: readonly VersionCounts[];
}

/** Evidence of one order: its slices in order of time, the oldest first. */
export interface VersionEvidence {
  slices: readonly EvidenceSlice[];
}

/** Requests by side since the order. */
export interface RequestTotals {
  old: number;
  new: number;
}

/**
 * Time in ms after its start for which a server counts as cold. A cold server
 * may take twice as long, which is no fault.
 */
export const COLD_MS = 5_000;

/** Interval in ms at which nodes report. */
export const EVIDENCE_INTERVAL_MS = 500;

/**
 * Interval in ms at which nodes report in the phase `closing`. All traffic is on
 * the new servers then, so that the exposure left lasts for less than 1 s.
 */
export const CLOSING_EVIDENCE_INTERVAL_MS = 250;

/** Silence in ms after which a node's counts are not waited for. */
const SILENT_MS = 3_000;

/** Counts at one node; plain sums, without time. */
export class EvidenceRecorder {
  private readonly rows = new Map<string, VersionCounts>();
  private sequence = 0;

  constructor(
    private readonly order: Pick<
      NodeEvidence,
      'service' | 'orderOffset' | 'nodeId' | 'incarnation'
    >,
  ) {}

  /** Records that a request is passed on to a server. */
  sent(side: VersionSide, cls: string): void {
    this.row(side, cls).requests++;
  }

  /**
   * Records the end of a request for which `sent` was called. `latencyMs` is
   * used for `answered` only; `cold`: the server is ready for less than
   * `COLD_MS`.
   */
  ended(
    side: VersionSide,
    cls: string,
    outcome: EvidenceOutcome,
    latencyMs: number,
    cold: boolean,
  ): void {
    const row = this.row(side, cls);
    row[outcome]++;
    if (outcome !== 'answered') return;
    const key = cold ? 'coldLatencies' : 'latencies';
    row[key] = combineLatencies(row[key], [[latencyBucket(latencyMs), 1]]);
  }

  /** The next report. */
  report(): NodeEvidence {
    const rows = [...this.rows.values()].map(row => ({...row}));
    return {...this.order, sequence: ++this.sequence, rows};
  }

  private row(side: VersionSide, cls: string): VersionCounts {
    const key = rowKey({side, class: cls});
    let row = this.rows.get(key);
    if (!row) this.rows.set(key, (row = emptyCounts(side, cls)));
    return row;
  }
}

/** Reports of all nodes on one order, as the coordinator has them. */
export class EvidenceLedger {
  private readonly latest = new Map<string, NodeEvidence>();
  private readonly acceptedAtMs = new Map<string, number>();
  private readonly slices: EvidenceSlice[] = [];
  private accepted = 0;

  constructor(
    private readonly service: string,
    private readonly orderOffset: number,
  ) {}

  /**
   * Takes a report in. Returns false, and changes nothing, for a report on
   * another order and for one that is not newer than the node's last.
   */
  accept(report: NodeEvidence, nowMs: number): boolean {
    if (report.service !== this.service) return false;
    if (report.orderOffset !== this.orderOffset) return false;
    const key = `${report.nodeId}/${report.incarnation}`;
    const before = this.latest.get(key);
    if (before && before.sequence >= report.sequence) return false;
    this.latest.set(key, report);
    this.acceptedAtMs.set(key, nowMs);
    this.accepted++;
    const known = new Map(before?.rows.map(row => [rowKey(row), row]));
    const added = report.rows.map(row => {
      const earlier = known.get(rowKey(row));
      return earlier ? addCounts(row, earlier, -1) : row;
    });
    const slice = this.sliceAt(nowMs);
    slice.rows = mergeCounts([...slice.rows, ...added]);
    return true;
  }

  /** Grows with each report that is taken in. */
  get revision(): number {
    return this.accepted;
  }

  /** The evidence so far. */
  evidence(): VersionEvidence {
    return {slices: this.slices};
  }

  /** Requests counted so far, over all nodes and their incarnations. */
  totals(): RequestTotals {
    const totals = {old: 0, new: 0};
    for (const {rows} of this.latest.values()) {
      for (const row of rows) totals[row.side] += row.requests;
    }
    return totals;
  }

  /**
   * When the oldest of the counts came: all nodes that still report have been
   * heard since. A node that is silent for 3 s is left out, as it may be dead.
   * Undefined before the first report.
   */
  countedAtMs(nowMs: number): number | undefined {
    const times = [...this.acceptedAtMs.values()];
    if (times.length === 0) return undefined;
    const live = times.filter(atMs => nowMs - atMs < SILENT_MS);
    return live.length > 0 ? Math.min(...live) : Math.max(...times);
  }

  private sliceAt(nowMs: number): EvidenceSlice {
    const startMs = nowMs - (nowMs % EVIDENCE_INTERVAL_MS);
    let slice = this.slices.at(-1);
    if (!slice || slice.startMs < startMs) {
      this.slices.push((slice = {startMs, rows: []}));
    }
    return slice;
  }
}

/** Sums counts that have the same side and class. */
export function mergeCounts(rows: readonly VersionCounts[]): VersionCounts[] {
  const sums = new Map<string, VersionCounts>();
  for (const row of rows) {
    const sum = sums.get(rowKey(row));
    sums.set(rowKey(row), sum ? addCounts(sum, row, 1) : row);
  }
  return [...sums.values()];
}

/** Counts of a side and class that has had no requests. */
export function emptyCounts(side: VersionSide, cls: string): VersionCounts {
  return {
    class: cls,
    side,
    requests: 0,
    answered: 0,
    failed: 0,
    unproven: 0,
    refused: 0,
    latencies: [],
    coldLatencies: [],
  };
}

/** `left` plus `sign` times `right`. */
function addCounts(
  left: VersionCounts,
  right: VersionCounts,
  sign: 1 | -1,
): VersionCounts {
  const {latencies, coldLatencies} = right;
  return {
    ...left,
    requests: left.requests + sign * right.requests,
    answered: left.answered + sign * right.answered,
    failed: left.failed + sign * right.failed,
    unproven: left.unproven + sign * right.unproven,
    refused: left.refused + sign * right.refused,
    latencies: combineLatencies(left.latencies, latencies, sign),
    coldLatencies: combineLatencies(left.coldLatencies, coldLatencies, sign),
  };
}

function rowKey(row: Pick<VersionCounts, 'side' | 'class'>): string {
  return `${row.side}/${row.class}`;
}
