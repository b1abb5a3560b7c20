/**
 * Limits retries to a share of the requests. Load pattern: all servers begin to
 * fail at once after a calm period. A token balance filled during the calm
 * period would be spent on top of the current share. A sliding window
 * never exceeds the operators' limit in any span of its length.
 */

/** Number of buckets of a window. */
const BUCKETS = 10;

/** The operators' limit for any span of `windowMs`. */
export interface RetryAllowance {
  /** Allowed retries per request. */
  share: number;
  /** Retries allowed in addition to the share. */
  extra: number;
  windowMs: number;
}

interface Bucket {
  /** Number of the bucket, counted from time 0. */
  index: number;
  requests: number;
  retries: number;
}

/** Requests and retries of one service at one entry node. */
export class RetryWindow {
  private readonly bucketMs: number;
  private buckets: Bucket[] = [];

  constructor(private readonly allowance: RetryAllowance) {
    this.bucketMs = allowance.windowMs / BUCKETS;
  }

  /** Counts a new request. */
  recordRequest(nowMs: number): void {
    this.current(nowMs).requests += 1;
  }

  /** Counts a retry; false, with none counted, if none is allowed. */
  acquire(nowMs: number): boolean {
    const current = this.current(nowMs);
    const {share, extra} = this.allowance;
    let requests = 0;
    let retries = 0;
    for (const bucket of this.buckets) {
      const isWithin = bucket.index > current.index - BUCKETS;
      if (isWithin) requests += bucket.requests;
      retries += bucket.retries;
    }
    if (retries + 1 > share * requests + extra) return false;
    current.retries += 1;
    return true;
  }

  /**
   * Returns the current bucket. Removes expired buckets, but keeps the one just
   * before the window, whose retries still count.
   */
  private current(nowMs: number): Bucket {
    const index = Math.floor(nowMs / this.bucketMs);
    const last = this.buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = {index, requests: 0, retries: 0};
    this.buckets = this.buckets.filter(entry => entry.index >= index - BUCKETS);
    this.buckets.push(bucket);
    return bucket;
  }
}
