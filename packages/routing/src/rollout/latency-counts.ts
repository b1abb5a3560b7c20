/** Mergeable summary of latencies: counts on a coarse logarithmic scale. */

/** Buckets for each doubling of the latency; a bucket is 19 % wide. */
const BUCKETS_PER_DOUBLING = 4;
/** Latencies up to this value share the first bucket. */
const FIRST_EDGE_MS = 0.25;
/** Index of the last bucket, which has all latencies from 65 s on. */
const LAST_BUCKET = 72;

/**
 * Counts by bucket as pairs `[bucket, count]`, in the order of the buckets;
 * empty buckets are left out. Plain data, fit for a message.
 */
export type LatencyCounts = readonly (readonly [number, number])[];

/** The bucket of a latency in ms, from 0 to 72. */
export function latencyBucket(latencyMs: number): number {
  if (!(latencyMs > FIRST_EDGE_MS)) return 0;
  const doublings = Math.log2(latencyMs / FIRST_EDGE_MS);
  return Math.min(LAST_BUCKET, Math.ceil(doublings * BUCKETS_PER_DOUBLING));
}

/** The number of buckets by which a latency grows that is multiplied. */
export function bucketsOfFactor(factor: number): number {
  return Math.ceil(Math.log2(factor) * BUCKETS_PER_DOUBLING);
}

/** `left` plus `sign` times `right`, bucket by bucket; never below 0. */
export function combineLatencies(
  left: LatencyCounts,
  right: LatencyCounts,
  sign: 1 | -1 = 1,
): LatencyCounts {
  const counts: [number, number][] = [];
  let at = 0;
  for (const [bucket, count] of left) {
    for (; (right[at]?.[0] ?? Infinity) < bucket; at++) {
      push(counts, right[at]?.[0] ?? 0, sign * (right[at]?.[1] ?? 0));
    }
    const isSame = right[at]?.[0] === bucket;
    const added = isSame ? (right[at++]?.[1] ?? 0) : 0;
    push(counts, bucket, count + sign * added);
  }
  for (const [bucket, count] of right.slice(at)) {
    push(counts, bucket, sign * count);
  }
  return counts;
}

function push(counts: [number, number][], bucket: number, count: number): void {
  if (count > 0) counts.push([bucket, count]);
}

/** The sum of all, bucket by bucket. */
export function sumLatencies(all: readonly LatencyCounts[]): LatencyCounts {
  const counts = new Array<number>(LAST_BUCKET + 1).fill(0);
  for (const latencies of all) {
    for (const pair of latencies) {
      counts[pair[0]] = (counts[pair[0]] ?? 0) + pair[1];
    }
  }
  const sum: [number, number][] = [];
  counts.forEach((count, bucket) => push(sum, bucket, count));
  return sum;
}

/** The number of latencies. */
export function countLatencies(latencies: LatencyCounts): number {
  return countAbove(latencies, -1);
}

/** The number of latencies in buckets above the given one. */
export function countAbove(latencies: LatencyCounts, bucket: number): number {
  let sum = 0;
  for (const pair of latencies) if (pair[0] > bucket) sum += pair[1];
  return sum;
}

/** The bucket of a quantile between 0 and 1; undefined without latencies. */
export function quantileBucket(
  latencies: LatencyCounts,
  quantile: number,
): number | undefined {
  let left = quantile * countLatencies(latencies);
  for (const pair of latencies) {
    left -= pair[1];
    if (left <= 0) return pair[0];
  }
  return latencies.at(-1)?.[0];
}
