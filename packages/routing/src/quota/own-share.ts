/** The part of the caps that a host may use while no owner counts it. */

import {
  bucketDepth,
  ratePerMs,
  type QuotaCap,
  type QuotaTerms,
} from './quota-terms.js';

export class OwnShare {
  /** Rights used of each tenant since the host became free. */
  private readonly used = new Map<number, {count: number; atMs: number}>();

  constructor(private readonly terms: QuotaTerms) {}

  /** Forgets what was used before the host was bound. */
  reset(): void {
    this.used.clear();
  }

  /**
   * Takes a right if the host's part has one; returns false otherwise.
   * `freeAtMs`: time at which the host became free; `hosts`: number of parts.
   */
  take(
    digest: number,
    cap: QuotaCap,
    {freeAtMs, hosts, nowMs}: {freeAtMs: number; hosts: number; nowMs: number},
  ): boolean {
    const rate = ratePerMs(cap, this.terms) / hosts;
    // Rights of an owner may be used one lease late; those here are not.
    const depth =
      bucketDepth(cap, this.terms) / hosts + rate * this.terms.leaseMs;
    const last = this.used.get(digest) ?? {count: 0, atMs: freeAtMs};
    const grown = last.count + (nowMs - last.atMs) * rate;
    const tokens = Math.min(depth, grown);
    if (tokens < 1) return false;
    this.used.set(digest, {count: tokens - 1, atMs: nowMs});
    return true;
  }
}
