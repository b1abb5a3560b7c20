/**
 * Judges a new version by the evidence on it.
 *
 * Load pattern: a version that fails or is slow at once, late, under load or on
 * one route, beside cold starts, failing old servers and faults that hit both.
 */

import {sliceCells, type Cell, type SliceCells} from './slice-cells.js';
import type {VersionEvidence} from './version-evidence.js';
import {
  failureRatio,
  SLOW_TEST_COUNT,
  slowCounts,
  slowRatio,
  type SlowCounts,
} from './version-tests.js';

export type Verdict = 'good' | 'bad' | 'undecided';

/** A verdict with what it rests on, for the log line. */
export interface Judgement {
  verdict: Verdict;
  /**
   * Log likelihood ratio of `bad` against `good` of the most suspicious test,
   * at least 0.
   */
  suspicion: number;
  /** Ended requests of the new version. */
  samples: number;
  /** The most suspicious test, such as `failures of class default`. */
  reason: string;
}

/** Probability that a good version is ever judged `bad`, over all tests. */
const FALSE_ALARM_RATE = 0.002;
/**
 * Suspicion from which a version is not `good`, and not completed where the
 * time for a verdict is over. Some three failures in close sequence reach it.
 */
export const SUSPICION_LIMIT = 6;
/** Time in ms before `nowMs` in which a good version has enough samples. */
const RECENT_MS = 3_000;
/**
 * Samples that a good version has in that time. A version that fails 10 % of
 * its requests passes so many without a failure in 1.5 % of cases.
 */
const MIN_RECENT_SAMPLES = 40;
/** Samples that a good version has of each class with traffic. */
const MIN_CLASS_SAMPLES = 20;
/** Part of the old servers' requests from which a class has traffic. */
const CLASS_TRAFFIC_SHARE = 0.05;

interface TestResult {
  suspicion: number;
  reason: string;
}

/**
 * Judges the new version at `nowMs`, by the clock of the slices. It compares by
 * class and as a whole, for the same time. `bad` holds from
 * the first time on; `good` is a statement on the last 3 s.
 */
export function judgeVersion(
  evidence: VersionEvidence,
  nowMs: number,
): Judgement {
  const {slices} = evidence;
  const cells = slices.map(({rows}) => sliceCells(rows));
  const classes = byClass(cells);
  const whole = cells.map(slice => slice.whole);
  const results: TestResult[] = [
    {suspicion: failureRatio(whole), reason: 'failures as a whole'},
  ];
  const slow: SlowCounts[][] = [];
  for (const [name, cells] of classes) {
    const counts = slowCounts(cells);
    slow.push(counts);
    results.push(
      {suspicion: failureRatio(cells), reason: `failures of class ${name}`},
      {suspicion: slowRatio([counts]), reason: `slow answers of class ${name}`},
    );
  }
  results.push({suspicion: slowRatio(slow), reason: 'slow answers as a whole'});
  const worst = results.reduce((a, b) => (b.suspicion > a.suspicion ? b : a));
  const tests = (1 + classes.size) * (1 + SLOW_TEST_COUNT);
  // Each slice is a start of the sums and so one more test.
  const limit = Math.log(
    (tests * Math.max(1, slices.length)) / FALSE_ALARM_RATE,
  );
  const samples = sumEnded(whole);
  const judged = {...worst, samples};
  if (worst.suspicion >= limit) return {...judged, verdict: 'bad'};
  const recent = whole.slice(
    slices.filter(({startMs}) => startMs <= nowMs - RECENT_MS).length,
  );
  const isGood =
    worst.suspicion < SUSPICION_LIMIT &&
    sumEnded(recent) >= MIN_RECENT_SAMPLES &&
    [...classes.values()].every(cells => hasSamples(cells, whole));
  return {...judged, verdict: isGood ? 'good' : 'undecided'};
}

function byClass(slices: readonly SliceCells[]): Map<string, Cell[]> {
  const classes = new Map<string, Cell[]>();
  slices.forEach(({byClass}, index) => {
    for (const [name, cell] of byClass) {
      let cells = classes.get(name);
      if (!cells) {
        cells = slices.map(() => ({}));
        classes.set(name, cells);
      }
      cells[index] = cell;
    }
  });
  return classes;
}

function hasSamples(cells: readonly Cell[], whole: readonly Cell[]): boolean {
  const traffic = oldRequests(cells) / Math.max(1, oldRequests(whole));
  if (traffic < CLASS_TRAFFIC_SHARE) return true;
  return sumEnded(cells) >= MIN_CLASS_SAMPLES;
}

function oldRequests(cells: readonly Cell[]): number {
  return cells.reduce((sum, cell) => sum + (cell.old?.requests ?? 0), 0);
}

function sumEnded(cells: readonly Cell[]): number {
  return cells.reduce((sum, cell) => sum + (cell.new?.ended ?? 0), 0);
}
