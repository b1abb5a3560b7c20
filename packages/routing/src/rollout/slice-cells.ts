/** The counts of one slice, arranged for the tests of a version. */

import type {LatencyCounts} from './latency-counts.js';
import {countLatencies, quantileBucket} from './latency-counts.js';
import type {VersionCounts} from './version-evidence.js';

/** What one slice has for a class and side. */
export interface CellCounts {
  requests: number;
  /** Requests that have ended, other than by the caller. */
  ended: number;
  /** Ended without a whole answer below 500. */
  failures: number;
  /** `failures` as a part of `ended`; 0 without any. */
  failureRate: number;
  latencies: LatencyCounts;
  coldLatencies: LatencyCounts;
  /** Number of `latencies`. */
  answers: number;
  /** Number of `coldLatencies`. */
  coldAnswers: number;
  /** Bucket of the 90 % quantile of `latencies`; 0 without any. */
  tailBucket: number;
}

/** What one slice has for a class. */
export interface Cell {
  old?: CellCounts;
  new?: CellCounts;
}

export interface SliceCells {
  byClass: ReadonlyMap<string, Cell>;
  /** All classes; without latencies, which differ between classes. */
  whole: Cell;
}

/** Results by their argument: past slices are read again at each judgement. */
const MEMO = new WeakMap<readonly VersionCounts[], SliceCells>();

/** Arranges the rows of a slice, which must not change afterwards. */
export function sliceCells(rows: readonly VersionCounts[]): SliceCells {
  let cells = MEMO.get(rows);
  if (!cells) MEMO.set(rows, (cells = arrange(rows)));
  return cells;
}

function arrange(rows: readonly VersionCounts[]): SliceCells {
  const byClass = new Map<string, Cell>();
  const whole: Cell = {};
  for (const row of rows) {
    const cell = byClass.get(row.class) ?? {};
    const counts = toCell(row);
    cell[row.side] = counts;
    byClass.set(row.class, cell);
    whole[row.side] = addTo(whole[row.side], counts);
  }
  return {byClass, whole};
}

function toCell(row: VersionCounts): CellCounts {
  const {requests, answered, latencies, coldLatencies} = row;
  const failures = row.failed + row.unproven + row.refused;
  const ended = answered + failures;
  return {
    requests,
    ended,
    failures,
    failureRate: ended > 0 ? failures / ended : 0,
    latencies,
    coldLatencies,
    answers: countLatencies(latencies),
    coldAnswers: countLatencies(coldLatencies),
    tailBucket: quantileBucket(latencies, 0.9) ?? 0,
  };
}

function addTo(sum: CellCounts | undefined, added: CellCounts): CellCounts {
  const requests = (sum?.requests ?? 0) + added.requests;
  const ended = (sum?.ended ?? 0) + added.ended;
  const failures = (sum?.failures ?? 0) + added.failures;
  return {
    requests,
    ended,
    failures,
    failureRate: ended > 0 ? failures / ended : 0,
    latencies: [],
    coldLatencies: [],
    answers: 0,
    coldAnswers: 0,
    tailBucket: 0,
  };
}
