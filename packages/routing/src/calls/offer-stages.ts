/**
 * Order in which a request is offered to servers. Load pattern: the servers in
 * the caller's data centre are full while others are free, and some answers are
 * so large that their transfer between data centres costs more than a late
 * answer does.
 */

/** Servers to which a request is offered in one stage, and the conditions. */
export interface OfferStage {
  /** The request is offered only to servers in the caller's data centre. */
  localOnly: boolean;
  /** An answer after the target is also accepted. */
  acceptsLate: boolean;
  /** The call may wait in the server's queue for a slot. */
  mayWait: boolean;
}

/** Stages in order; a stage ends when it has no eligible server left. */
export type OfferStages = readonly [OfferStage, ...OfferStage[]];

const LOCAL_ON_TIME = {localOnly: true, acceptsLate: false, mayWait: true};
const LOCAL_LATE = {localOnly: true, acceptsLate: true, mayWait: true};
const ANY_ON_TIME = {localOnly: false, acceptsLate: false, mayWait: true};
const ANY_LATE = {localOnly: false, acceptsLate: true, mayWait: true};
/**
 * When all data centres are full, waiting in a remote one would only swap calls
 * between them.
 */
const ANY_WITHOUT_WAITING = {
  localOnly: false,
  acceptsLate: true,
  mayWait: false,
};

/** The attributes of a request that determine the order; times in ms. */
export interface OfferTerms {
  /** Cost of the answer's transfer between data centres, as a delay. */
  transferCostMs: number;
  /** Maximum lateness of an answer: the time from target to deadline. */
  maxLatenessMs: number;
}

/** Returns the stages in which a request is offered. */
export function offerStages({
  transferCostMs,
  maxLatenessMs,
}: OfferTerms): OfferStages {
  return transferCostMs > maxLatenessMs
    ? [LOCAL_ON_TIME, LOCAL_LATE, ANY_WITHOUT_WAITING]
    : [ANY_ON_TIME, ANY_LATE];
}
