/**
 * Repetitions within a share of the requests. Load pattern: all servers begin
 * to fail at once after a calm time. A balance that calm seconds have filled
 * would be spent on top of the current share; a sliding window cannot exceed
 * what the operators allow in any span of its length.
 */

/** Parts of a window that are counted apart. */
const BUCKETS = 10;

/** What the operators allow in any span of `windowMs`. */
export interface RetryAllowance {
  /** Repetitions for each request. */
  share: number;
  /** Repetitions beyond the share. */
  extra: number;
  windowMs: number;
}

interface Bucket {
  /** Number of the span since time 0. */
  index: number;
  requests: number;
  repetitions: number;
}

/** Counts of one service at one entry node. */
export class RetryWindow {
  private readonly bucketMs: number;
  private buckets: Bucket[] = [];

  constructor(private readonly allowance: RetryAllowance) {
    this.bucketMs = allowance.windowMs / BUCKETS;
  }

  /** Counts a request that has arrived. */
  recordRequest(nowMs: number): void {
    this.current(nowMs).requests += 1;
  }

  /** Counts a repetition; false, and none counted, if none is allowed. */
  acquire(nowMs: number): boolean {
    const current = this.current(nowMs);
    const {share, extra} = this.allowance;
    let requests = 0;
    let repetitions = 0;
    for (const bucket of this.buckets) {
      const isWithin = bucket.index > current.index - BUCKETS;
      if (isWithin) requests += bucket.requests;
      repetitions += bucket.repetitions;
    }
    if (repetitions + 1 > share * requests + extra) return false;
    current.repetitions += 1;
    return true;
  }

  /** Drops what has left the window, but keeps one part more than it has. */
  private current(nowMs: number): Bucket {
    const index = Math.floor(nowMs / this.bucketMs);
    const last = this.buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = {index, requests: 0, repetitions: 0};
    this.buckets = this.buckets.filter(one => one.index >= index - BUCKETS);
    this.buckets.push(bucket);
    return bucket;
  }
}
