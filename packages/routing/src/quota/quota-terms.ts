/** Terms of the usage caps that all nodes of a deployment share. */

import {hash32} from '@turmericmill/utils';

/** Share of the tolerated overage by which a right may be used late. */
const LEASE_SHARE = 0.36;
/** Share of the tolerated overage by which a request may wait for a right. */
const WAIT_SHARE = 0.44;
/**
 * Time in ms for which a ticket binds a host. A ticket comes right after one
 * ask, is returned by the next, and has to last until the one after that: two
 * intervals of 100 ms. With 160 ms and messages of 5 to 30 ms, bindings ended
 * between asks and only 0.72 of a cap was used.
 */
const BINDING_MS = 300;
/** Share of the tolerated overage that deepens the buckets. */
const DEPTH_SHARE = 0.2;
/** Share of the slack that deepens the buckets, for caps without a burst. */
const SLACK_SHARE = 0.5;
/** Share of the slack and of the overage of the burst for new bindings. */
const STARTER_SHARE = 0.25;
/**
 * Share of the burst that is granted evenly over each window in place of at once.
 * The cap allows the burst in every window, so that a tenant that stays a little
 * above its rate is within its cap. The tolerated overage of the burst, less what
 * new bindings take of it, pays for no larger share.
 */
const BURST_RATE_SHARE = 0.5;
/** Longest wait in ms of a request for a right. */
const MAX_WAIT_MS = 250;
const MS_PER_S = 1000;

/** Cap on the requests of a tenant at all nodes together. */
export interface QuotaCap {
  requestsPerS: number;
  burst: number;
}

/** What the deployment tolerates above a cap, in any window. */
export interface QuotaBounds {
  windowMs: number;
  /** Share of the cap. */
  overage: number;
  /** Number of requests besides the share. */
  slack: number;
}

export interface QuotaTerms {
  /** Window of the cap in ms. */
  windowMs: number;
  /** Time in ms from the sending of an ask to the end of the rights granted. */
  leaseMs: number;
  /** Time in ms from the issue of a ticket to the end of the binding. */
  bindingMs: number;
  /** Longest time in ms that a request waits for a right. */
  waitMs: number;
  /** Time in ms of a cap's rate that a bucket holds besides the burst. */
  depthMs: number;
  /** Requests that a bucket holds besides the burst. */
  depthRequests: number;
  /** Requests that all parts together bring to a new owner, besides a share. */
  starterRequests: number;
  /** Share of the burst that all parts together bring to a new owner. */
  starterBurstShare: number;
  /** Least time in ms between two bindings of a host that bring those. */
  starterIntervalMs: number;
}

/**
 * A point in time by two clocks in ms. The steady clock stands still while the
 * host is suspended; `progressMs` grows by the larger progress of the steady
 * and the wall clock. Rights end by `progressMs`; credit grows by `steadyMs`.
 */
export interface QuotaTime {
  steadyMs: number;
  progressMs: number;
}

/**
 * Divides the tolerated overage, as a time of the cap's rate, between late use,
 * waiting and depth: their sum is at most `overage` x `windowMs`.
 */
export function quotaTerms(bounds: QuotaBounds): QuotaTerms {
  const overageMs = bounds.overage * bounds.windowMs;
  return {
    windowMs: bounds.windowMs,
    leaseMs: overageMs * LEASE_SHARE,
    bindingMs: BINDING_MS,
    waitMs: Math.min(MAX_WAIT_MS, overageMs * WAIT_SHARE),
    depthMs: overageMs * DEPTH_SHARE,
    depthRequests: bounds.slack * SLACK_SHARE,
    starterRequests: bounds.slack * STARTER_SHARE,
    starterBurstShare: bounds.overage * 2 * STARTER_SHARE,
    // Asks arrive at most one binding after they were sent.
    starterIntervalMs: bounds.windowMs + overageMs + BINDING_MS,
  };
}

/** Rights that the bucket of a cap holds if all hosts lend their parts. */
export function bucketDepth(cap: QuotaCap, terms: QuotaTerms): number {
  const burst = cap.burst * (1 - BURST_RATE_SHARE);
  return burst + terms.depthRequests + ratePerMs(cap, terms) * terms.depthMs;
}

/** Rights per ms with which the bucket of a cap fills. */
export function ratePerMs(
  {requestsPerS, burst}: QuotaCap,
  {windowMs}: Pick<QuotaTerms, 'windowMs'>,
): number {
  return requestsPerS / MS_PER_S + (burst * BURST_RATE_SHARE) / windowMs;
}

/** Largest number of requests that may be sent and run in one window. */
export function windowBound(cap: QuotaCap, bounds: QuotaBounds): number {
  const {windowMs, overage, slack} = bounds;
  const capOfWindow = (cap.requestsPerS * windowMs) / MS_PER_S + cap.burst;
  return capOfWindow * (1 + overage) + slack;
}

/** Names a tenant in messages between nodes. */
export function tenantDigest(name: string): number {
  return hash32(name);
}
