/**
 * When a roll-out takes its steps, and how much traffic the new version gets.
 *
 * Load pattern: a version that turns bad late. The bound is on the sum of its
 * requests, so most of them are kept for the seconds before the decision and
 * for the closing, when all traffic is on the new servers.
 */

import {rendezvousTop} from '@turmericmill/utils';

import type {RequestTotals} from './version-evidence.js';

/** Bounds of the deployment's settings. */
export interface RolloutBounds {
  /** Largest part of the service's requests that a bad version may get. */
  exposureShare: number;
  /** Requests that it may get on top. */
  exposureSlack: number;
}

/** What a plan is made for. Times in ms by the coordinator's steady clock. */
export interface PlanTerms {
  /** When the coordinator first read the order. */
  orderMs: number;
  /** Time limit of the order: `orderMs` plus its duration. */
  limitMs: number;
  /** Time in ms that nearly all running calls of the service end in. */
  longestCallMs: number;
}

/** Times in ms by the coordinator's steady clock. */
export interface RolloutPlan extends PlanTerms {
  /** From here on, a few new servers get the load of a server in service. */
  loadFromMs: number;
  /** When the version is decided on; closing begins then. */
  decideMs: number;
  /** `completed` is sent to the store before this time or not at all. */
  statusByMs: number;
}

/** What the share depends on, besides time. */
export interface TrialUsage {
  /** Requests counted since the order. */
  totals: RequestTotals;
  /** Requests a second of the service. */
  requestsPerS: number;
  /** The share in force. */
  share: number;
  /** Age in ms of the oldest counts. */
  countsAgeMs: number;
}

/** Time in ms for the status to be written before the time limit. */
const STATUS_RESERVE_MS = 500;
/** Time in ms for the state to reach nodes and the reports to come back. */
const CLOSING_MESSAGES_MS = 800;
/** Time in ms before the decision in which new servers see full load. */
const LOAD_MS = 2_500;
/** Age in ms that counts of requests have at least: interval and messages. */
const UNCOUNTED_MS = 600;
/**
 * Time in ms of full traffic that is kept back for the closing, besides that of
 * the longest calls: the state goes out, answers are counted and reported.
 */
const CLOSING_TRAFFIC_MS = 800;
/** Part of the bound that the trial has at least, however long calls take. */
const MIN_TRIAL_PART = 0.25;
/** Part of the trial's requests that is spent before the time of full load. */
const EARLY_PART = 0.3;
/** Share before the rate of requests is known. */
const FIRST_SHARE = 0.02;
/** Largest share, so that callers notice little of a bad version. */
const MAX_SHARE = 0.5;

/** Makes the plan of an order. */
export function planRollout(terms: PlanTerms): RolloutPlan {
  const {orderMs, limitMs, longestCallMs} = terms;
  const statusByMs = limitMs - STATUS_RESERVE_MS;
  const halfMs = orderMs + (limitMs - orderMs) / 2;
  const closingMs = longestCallMs + CLOSING_MESSAGES_MS;
  const decideMs = Math.max(halfMs, statusByMs - closingMs);
  const loadFromMs = Math.max(orderMs, decideMs - LOAD_MS);
  return {...terms, loadFromMs, decideMs, statusByMs};
}

/**
 * Requests that the new version may still get at this moment: the bound on what
 * is counted so far, without what may be under way uncounted. Never negative.
 * It is safe whatever traffic follows, as the bound only grows with it.
 */
export function exposureLeft(bounds: RolloutBounds, usage: TrialUsage): number {
  const {totals} = usage;
  const bound =
    bounds.exposureShare * (totals.old + totals.new) + bounds.exposureSlack;
  return Math.max(0, bound - totals.new - uncounted(usage));
}

/** The part of the service's requests that goes to new servers, 0 to 1. */
export function trialShare(
  plan: RolloutPlan,
  bounds: RolloutBounds,
  usage: TrialUsage,
  nowMs: number,
): number {
  const {requestsPerS, totals} = usage;
  if (nowMs >= plan.decideMs || exposureLeft(bounds, usage) <= 0) return 0;
  if (requestsPerS <= 0) return FIRST_SHARE;
  const budget = trialBudget(plan, bounds, requestsPerS);
  const isLoad = nowMs >= plan.loadFromMs;
  const part = isLoad ? 1 : EARLY_PART;
  const untilMs = isLoad ? plan.decideMs : plan.loadFromMs;
  const left = budget * part - totals.new - uncounted(usage);
  // The time left is at least the age of the counts, or the share would swing.
  const leftS = Math.max(UNCOUNTED_MS, untilMs - nowMs) / 1_000;
  const share = left / (requestsPerS * leftS);
  const safe =
    exposureLeft(bounds, usage) / (requestsPerS * (UNCOUNTED_MS / 1_000));
  return Math.min(MAX_SHARE, safe, Math.max(0, share));
}

/**
 * The new servers that take the trial's traffic: all while they warm up, later
 * so few that each sees the load that it has once it is in service. The choice
 * is the same for the same keys and order.
 */
export function trialServers(
  plan: RolloutPlan,
  share: number,
  serverKeys: readonly string[],
  nowMs: number,
): readonly string[] {
  if (nowMs < plan.loadFromMs) return [...serverKeys].sort();
  const count = Math.max(1, Math.round(share * serverKeys.length));
  return rendezvousTop('trial', serverKeys, count).sort();
}

/** Requests that the trial may spend, the closing's being kept back. */
function trialBudget(
  plan: RolloutPlan,
  bounds: RolloutBounds,
  requestsPerS: number,
): number {
  const durationS = (plan.limitMs - plan.orderMs) / 1_000;
  const bound =
    bounds.exposureShare * requestsPerS * durationS + bounds.exposureSlack;
  const closingS = (CLOSING_TRAFFIC_MS + plan.longestCallMs) / 1_000;
  return Math.max(MIN_TRIAL_PART * bound, bound - requestsPerS * closingS);
}

/** Requests to new servers that no report has counted yet. */
function uncounted(usage: TrialUsage): number {
  const ageMs = Math.max(UNCOUNTED_MS, usage.countsAgeMs);
  return (usage.share * usage.requestsPerS * ageMs) / 1_000;
}
