/**
 * In which order a request is offered to servers. Load pattern: servers that
 * are full near the caller and free elsewhere, and answers so large that their
 * way between data centres costs more than a late answer does.
 */

/** What is asked of which servers. */
export interface OfferStage {
  /** Only servers of the caller's data centre. */
  nearOnly: boolean;
  /** An answer after the target is taken, too. */
  acceptsLate: boolean;
  /** The call may wait for a slot. */
  mayWait: boolean;
}

/** Stages in turn; each is left once none of its servers is left to ask. */
export type OfferStages = readonly [OfferStage, ...OfferStage[]];

const NEAR_ON_TIME = {nearOnly: true, acceptsLate: false, mayWait: true};
const NEAR_LATE = {nearOnly: true, acceptsLate: true, mayWait: true};
const ANY_ON_TIME = {nearOnly: false, acceptsLate: false, mayWait: true};
const ANY_LATE = {nearOnly: false, acceptsLate: true, mayWait: true};
/** Where all data centres are full, waiting afar would only trade places. */
const ANY_AT_ONCE = {nearOnly: false, acceptsLate: true, mayWait: false};

/** A request as the order of its offers sees it; times in ms. */
export interface OfferTerms {
  /** Delay that the answer's way to another data centre is worth. */
  crossingMs: number;
  /** Time between the target and the deadline: how late an answer may be. */
  maxLatenessMs: number;
}

/** In which order a request is offered. */
export function offerStages({
  crossingMs,
  maxLatenessMs,
}: OfferTerms): OfferStages {
  return crossingMs > maxLatenessMs
    ? [NEAR_ON_TIME, NEAR_LATE, ANY_AT_ONCE]
    : [ANY_ON_TIME, ANY_LATE];
}
