/** Which servers may be asked at a stage of a request's offers. */

import {candidateKey, type Candidate} from '../balancing/balancer.js';
import type {
  RecentRefusals,
  RefusedOffer,
} from '../balancing/recent-refusals.js';
import type {OfferStage} from './offer-stages.js';

/** A request and its offers so far; times in ms. */
export interface OfferState {
  stage: OfferStage;
  /** Servers that were asked, by their key. */
  tried: ReadonlySet<string>;
  /** Servers that the request was sent to. */
  reached: number;
  rank: number;
  targetMs: number;
  deadlineMs: number;
}

/** What asking the server now means for the refusals of others. */
export function buildOffer(
  candidate: Candidate,
  {stage, rank, targetMs, deadlineMs}: OfferState,
  nowMs: number,
): RefusedOffer {
  const {acceptsLate} = stage;
  const slackMs = (acceptsLate ? deadlineMs : targetMs) - nowMs;
  return {server: candidateKey(candidate), rank, acceptsLate, slackMs};
}

/** Those of the stage that have not refused such a call a moment ago. */
export function selectEligibleCandidates(
  candidates: readonly Candidate[],
  state: OfferState,
  refusals: RecentRefusals,
  dataCentre: string,
  nowMs: number,
): readonly Candidate[] {
  const {stage, tried, reached} = state;
  const {nearOnly, acceptsLate, mayWait} = stage;
  // What has refused to answer in time may take the call late.
  const mayAskAgain = acceptsLate && mayWait && reached === 0;
  return candidates.filter(candidate => {
    if (nearOnly && candidate.dataCentre !== dataCentre) return false;
    if (!mayAskAgain && tried.has(candidateKey(candidate))) return false;
    return !refusals.covers(buildOffer(candidate, state, nowMs), nowMs);
  });
}
