/** Selects the servers to which a request may be offered in one stage. */

import {candidateKey, type Candidate} from '../balancing/balancer.js';
import type {RecentRefusals, CallOffer} from '../balancing/recent-refusals.js';
import type {OfferStage} from './offer-stages.js';

/** A request and the state of its offers; times in ms. */
export interface OfferState {
  stage: OfferStage;
  /** Keys of the servers to which the request has been offered. */
  tried: ReadonlySet<string>;
  /** Number of servers to which the request has been sent. */
  reached: number;
  /** Undefined without one. */
  tenant?: string | undefined;
  rank: number;
  targetMs: number;
  deadlineMs: number;
}

/** Describes an offer made now, for comparison with recent refusals. */
export function buildOffer(
  candidate: Candidate,
  {stage, tenant, rank, targetMs, deadlineMs}: OfferState,
  nowMs: number,
): CallOffer {
  const {acceptsLate} = stage;
  const slackMs = (acceptsLate ? deadlineMs : targetMs) - nowMs;
  const server = candidateKey(candidate);
  return {server, tenant, rank, acceptsLate, slackMs};
}

/**
 * Returns the servers of the stage, except those that already had the offer and
 * those that have recently refused a similar call.
 */
export function selectEligibleCandidates(
  candidates: readonly Candidate[],
  state: OfferState,
  refusals: RecentRefusals,
  dataCentre: string,
  nowMs: number,
): readonly Candidate[] {
  const {stage, tried, reached} = state;
  const {localOnly, acceptsLate, mayWait} = stage;
  // A server that refused to answer on time may accept a late answer, so the
  // offer may be repeated while the request has not been sent to any server.
  const mayRepeatOffer = acceptsLate && mayWait && reached === 0;
  return candidates.filter(candidate => {
    if (localOnly && candidate.dataCentre !== dataCentre) return false;
    if (!mayRepeatOffer && tried.has(candidateKey(candidate))) return false;
    return !refusals.covers(buildOffer(candidate, state, nowMs), nowMs);
  });
}
