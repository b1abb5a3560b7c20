/**
 * Sequential tests of a new version against the old one. Each gives a log
 * likelihood ratio that grows with evidence for a bad version.
 *
 * The ratios of slices are summed from the most suspicious start on (CUSUM), so
 * that a version that turns bad late is not covered by its earlier answers. A
 * likelihood ratio exceeds `A` with a probability of at most `1 / A` over any
 * number of looks, which needs no correction for looking every 500 ms.
 */

import type {LatencyCounts} from './latency-counts.js';
import type {Cell, CellCounts} from './slice-cells.js';
import {
  bucketsOfFactor,
  countAbove,
  countLatencies,
  quantileBucket,
  sumLatencies,
} from './latency-counts.js';

/** Slow answers of the new version by slice; empty without old answers. */
export type SlowCounts = readonly {hits: number; total: number}[];

/** What an event, and its absence, add to the log likelihood ratio. */
interface Weights {
  hit: number;
  miss: number;
}

/** Tolerated failure rate where old servers have had fewer failures. */
const MIN_NORMAL_RATE = 0.005;
/**
 * Largest failure rate that is taken as normal for a class. Old servers that
 * fail more often from the order on would otherwise excuse the new version.
 */
const MAX_NORMAL_RATE = 0.03;
/** Failure rate of a bad version; the least that is looked for is 0.1. */
const BAD_RATE = 0.08;
/** Ratio from which the old servers of a slice count as failing. */
const OLD_FAILING_RATIO = 3;
/** Slower than the old version by less than this is no fault. */
const SLOWER_BUCKETS = bucketsOfFactor(1.4);
/** As `SLOWER_BUCKETS`, for cold servers: they may take twice as long. */
const COLD_SLOWER_BUCKETS = bucketsOfFactor(2.2);
/** Shift of the old servers' 90 % quantile from which they count as slow. */
const OLD_SLOW_BUCKETS = 3;
/** Old answers of a slice without which its quantiles say nothing. */
const MIN_SLICE_ANSWERS = 20;
/**
 * Slices with trouble at the old servers after which it counts as lasting. The
 * new version is then compared with what is normal. With 3 s, a fault of 4 s at
 * both had one in three good versions rolled back.
 */
const LASTING_SLICES = 10;

/** Slow answers are counted above a quantile of the old ones. */
const SLOW_TESTS = [
  {quantile: 0.95, minOldAnswers: 100, weights: weigh(0.025, 0.18)},
  {quantile: 0.98, minOldAnswers: 250, weights: weigh(0.01, 0.07)},
];
/** Number of tests that `slowRatio` takes the largest ratio of. */
export const SLOW_TEST_COUNT = SLOW_TESTS.length;

/** Tests whether the new version fails more often than is normal. */
export function failureRatio(cells: readonly Cell[]): number {
  if (cells.every(cell => !cell.new?.failures)) return 0;
  const normal = normalFailureRate(cells);
  const usual = weigh(normal, Math.max(BAD_RATE, normal + 0.07));
  const failing = cells.map(({old}) => oldFails(old, usual));
  const lasting = isLasting(cells, failing);
  const ratios = cells.map((cell, index) => {
    if (!cell.new) return 0;
    // Nodes report at different times: a fault may show in the slice beside.
    const near = [index - 1, index, index + 1].filter(at => failing[at]);
    const troubled = near.map(at => cells[at]?.old);
    const weights = near.length > 0 && !lasting ? atFault(troubled) : usual;
    return logRatio(cell.new.failures, cell.new.ended, weights);
  });
  return largestSum(ratios);
}

/**
 * Counts the answers of the new version that are slow for their class, for each
 * test by slice.
 */
export function slowCounts(cells: readonly Cell[]): SlowCounts[] {
  if (!cells.some(cell => cell.new && hasAnswers(cell.new))) return [];
  const normal = normalLatencies(cells);
  const oldAnswers = countLatencies(normal);
  const shifts = oldShifts(cells, normal);
  const slow = shifts.map(shift => shift > 0);
  const lasting = isLasting(cells, slow);
  return SLOW_TESTS.map(({quantile, minOldAnswers}) => {
    if (oldAnswers < minOldAnswers) return [];
    const usual = quantileBucket(normal, quantile) ?? 0;
    return cells.map((cell, index) => {
      if (!cell.new) return {hits: 0, total: 0};
      const near = shifts.slice(Math.max(0, index - 1), index + 2);
      const limit = usual + (lasting ? 0 : Math.max(...near));
      const {latencies, coldLatencies} = cell.new;
      const hits =
        countAbove(latencies, limit + SLOWER_BUCKETS) +
        countAbove(coldLatencies, limit + COLD_SLOWER_BUCKETS);
      return {hits, total: cell.new.answers + cell.new.coldAnswers};
    });
  });
}

/**
 * Tests whether the new version answers slower than the old one, by the counts
 * of one or several classes. A slow answer is as likely in each class.
 */
export function slowRatio(classes: readonly SlowCounts[][]): number {
  const ratios = SLOW_TESTS.map(({weights}, test) => {
    const ratioOfSlice: number[] = [];
    for (const counts of classes) {
      counts[test]?.forEach(({hits, total}, slice) => {
        const before = ratioOfSlice[slice] ?? 0;
        ratioOfSlice[slice] = before + logRatio(hits, total, weights);
      });
    }
    return largestSum(ratioOfSlice);
  });
  return Math.max(...ratios);
}

function hasAnswers({answers, coldAnswers}: CellCounts): boolean {
  return answers + coldAnswers > 0;
}

/** Failure rate of the old servers without the worst quarter of the slices. */
function normalFailureRate(cells: readonly Cell[]): number {
  const slices = cells
    .flatMap(({old}) => (old && old.ended > 0 ? [old] : []))
    .sort((a, b) => a.failureRate - b.failureRate);
  const better = slices.slice(0, Math.ceil(slices.length * 0.75));
  const ended = better.reduce((sum, slice) => sum + slice.ended, 0);
  const failed = better.reduce((sum, slice) => sum + slice.failures, 0);
  const rate = ended > 0 ? failed / ended : 0;
  return Math.min(MAX_NORMAL_RATE, Math.max(MIN_NORMAL_RATE, rate));
}

function oldFails(old: CellCounts | undefined, usual: Weights): boolean {
  if (!old) return false;
  return logRatio(old.failures, old.ended, usual) > OLD_FAILING_RATIO;
}

/** Rates while old servers fail: the new version may fail as often. */
function atFault(troubled: readonly (CellCounts | undefined)[]): Weights {
  const worst = Math.max(...troubled.map(old => old?.failureRate ?? 0));
  const good = Math.min(0.7, 1.5 * worst + 0.05);
  return weigh(good, Math.min(0.95, good + 0.2));
}

/** True if most slices in which the new version had traffic are troubled. */
function isLasting(
  cells: readonly Cell[],
  troubled: readonly boolean[],
): boolean {
  const used = cells.filter(cell => cell.new).length;
  const hit = cells.filter((cell, at) => cell.new && troubled[at]).length;
  return hit >= LASTING_SLICES && hit > used / 2;
}

/** Old latencies of the faster half of the slices. */
function normalLatencies(cells: readonly Cell[]): LatencyCounts {
  const slices = cells.flatMap(({old}) => (old ? [old] : []));
  const known = slices
    .filter(({answers}) => answers >= MIN_SLICE_ANSWERS)
    .sort((a, b) => a.tailBucket - b.tailBucket);
  const faster = known.slice(0, Math.ceil(known.length / 2));
  const used = faster.length > 0 ? faster : slices;
  return sumLatencies(used.map(({latencies}) => latencies));
}

/** Buckets by which the old servers of each slice are slower than normal. */
function oldShifts(cells: readonly Cell[], normal: LatencyCounts): number[] {
  const usual = quantileBucket(normal, 0.9) ?? 0;
  return cells.map(({old}) => {
    if (!old || old.answers < MIN_SLICE_ANSWERS) return 0;
    const shift = old.tailBucket - usual;
    return shift >= OLD_SLOW_BUCKETS ? shift : 0;
  });
}

/** Weights of an event by its rates under a good and a bad version. */
function weigh(good: number, bad: number): Weights {
  return {hit: Math.log(bad / good), miss: Math.log((1 - bad) / (1 - good))};
}

/** Log likelihood ratio for `hits` of `total`. */
function logRatio(hits: number, total: number, weights: Weights): number {
  return hits * weights.hit + (total - hits) * weights.miss;
}

/** Largest sum of the last values, over all starts; at least 0. */
function largestSum(values: readonly number[]): number {
  return values.reduce((sum, value) => Math.max(0, sum + value), 0);
}
