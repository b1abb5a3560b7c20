/** Token bucket of one cap, of which a varying part of the hosts lend parts. */

import {
  bucketDepth,
  ratePerMs,
  type QuotaCap,
  type QuotaTerms,
} from './quota-terms.js';

/** Tolerance for sums of fractions that should be whole. */
const ROUNDING = 1e-9;

export class CapBucket {
  private tokens = 0;

  constructor(
    private cap: QuotaCap,
    private readonly terms: QuotaTerms,
  ) {}

  /** Whole rights in the bucket. */
  get whole(): number {
    return Math.floor(this.tokens + ROUNDING);
  }

  /** Whole rights above half of the depth that `share` of the hosts lend. */
  spare(share: number): number {
    const kept = (bucketDepth(this.cap, this.terms) * share) / 2;
    return Math.max(0, Math.floor(this.tokens - kept + ROUNDING));
  }

  /** Adds `elapsedMs` of the rate, for `share` of the hosts. */
  fill(share: number, elapsedMs: number): void {
    this.tokens += ratePerMs(this.cap, this.terms) * share * elapsedMs;
    this.clip(share);
  }

  /** Adds what one host has left unused for `freeMs`; `share`: of one host. */
  lend(share: number, freeMs: number): void {
    const depth = bucketDepth(this.cap, this.terms);
    this.tokens +=
      Math.min(depth, ratePerMs(this.cap, this.terms) * freeMs) * share;
  }

  /**
   * Adds rights for requests that waited while the part of one host changed to
   * this owner; `share`: of one host.
   */
  addStarter(share: number): void {
    const {starterRequests, starterBurstShare} = this.terms;
    const burst = this.cap.burst * starterBurstShare;
    this.tokens += (starterRequests + burst) * share;
  }

  /** Limits the tokens to the depth for `share` of the hosts. */
  clip(share: number): void {
    const depth = bucketDepth(this.cap, this.terms) * share;
    this.tokens = Math.min(this.tokens, depth);
  }

  take(count: number): void {
    this.tokens = Math.max(0, this.tokens - count);
  }

  setCap(cap: QuotaCap, share: number): void {
    this.cap = cap;
    this.clip(share);
  }

  /** Time in ms until the bucket holds `count` rights. */
  timeUntilMs(count: number, share: number): number {
    const missing = Math.max(0, count - this.tokens);
    const rate = ratePerMs(this.cap, this.terms) * share;
    return rate > 0 ? missing / rate : Infinity;
  }
}
