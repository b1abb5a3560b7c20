/** Requests of a load pattern, and their attempts at the entry nodes. */

import type {
  CallOutcome,
  CallTraits,
  LeastExpectedCostBalancer,
  OfferStage,
  OfferState,
  QueuedCall,
  RecentRefusals,
  RetryWindow,
} from '@turmericmill/routing';

import type {LoadClass} from './load-pattern.js';
import type {OfferEnd} from './load-server.js';

export interface EntryNode {
  dataCentre: string;
  balancer: LeastExpectedCostBalancer;
  refusals: RecentRefusals;
  retryWindow: RetryWindow;
}

/** A request of a client, over all its attempts. */
export interface Request {
  cls: LoadClass;
  entry: EntryNode;
  workMs: number;
  firstAttemptMs: number;
  attempts: number;
  /** Time in ms at which its caller gives up. */
  latestMs: number;
  /** Called at the end of a call that a server made; absent for clients. */
  onInnerEnd?: (succeeded: boolean) => void;
}

/** One attempt of a client, as its entry node sees it. */
export interface ClientAttempt {
  request: Request;
  startedMs: number;
  deadlineMs: number;
  /** Simulated time in ms until which servers count an answer as on time. */
  targetMs: number;
  tried: Set<string>;
  /** Number of servers that received the request and shed it. */
  reached: number;
  /** Number of offers made to servers. */
  offers: number;
  stage: OfferStage;
  laterStages: readonly OfferStage[];
  /** Shortest wait in ms that a full server reported; infinite if none did. */
  minWaitMs: number;
}

/** Describes an attempt for the queue of a server. */
export function queuedCallOf(
  {request, targetMs, deadlineMs, stage}: ClientAttempt,
  id: number,
  nowMs: number,
): QueuedCall {
  const {acceptsLate, mayWait} = stage;
  return {
    id,
    class: request.cls.name,
    rank: request.cls.rank,
    targetMs: mayWait ? targetMs : nowMs,
    deadlineMs,
    acceptsLate: acceptsLate && mayWait,
    suspect: false,
  };
}

export function outcomeOf(end: OfferEnd): CallOutcome {
  if (end === 'answered') return 'answered';
  return end === 'failed' ? 'server-error' : 'refused';
}

export function offerState(attempt: ClientAttempt): OfferState {
  const {request, stage, tried, reached, targetMs, deadlineMs} = attempt;
  const {rank} = request.cls;
  return {stage, tried, reached, rank, targetMs, deadlineMs};
}

export function traitsOf({name, answerBytes}: LoadClass): CallTraits {
  return {class: name, priority: 'interactive', transferBytes: answerBytes};
}
