/** Decides what to do after an attempt that brought no answer. */

import type {CallFailure} from '@turmericmill/node';

/** Offers after which a request that found no slot is not offered again. */
const MAX_OFFERS = 4;
/** Least remaining time in ms for another attempt. */
const MIN_REMAINING_MS = 30;

/** A request and its attempts so far. */
export interface AttemptState {
  repeatable: boolean;
  /** Number of servers that the request was sent to. */
  reached: number;
  /** Number of servers that the request may be sent to in all. */
  maxAttempts: number;
  /** Number of times that the request was offered to a node. */
  offers: number;
  /** Time in ms until the request's deadline. */
  remainingMs: number;
}

/**
 * `offer`: offer the request to another node, which costs no retry budget.
 * `repeat`: send it to another server, out of the service's retry budget.
 * `stop`: answer the caller.
 */
export type NextStep = 'offer' | 'repeat' | 'stop';

/**
 * Load pattern: servers that fail or vanish with work in flight while the
 * others are busy. A request that may have been executed is repeated only where
 * that is harmless; one that has not reached a server may always be offered
 * again.
 */
export function nextStep(state: AttemptState, failure: CallFailure): NextStep {
  const {outcome, reason, reachedServer = false} = failure;
  if (reason === 'quarantined') return 'stop';
  if (state.remainingMs < MIN_REMAINING_MS) return 'stop';
  const mayHaveRun = outcome === 'unknown';
  if (mayHaveRun && (reason === 'deadline' || !state.repeatable)) return 'stop';
  if (mayHaveRun || reachedServer) {
    return state.reached < state.maxAttempts ? 'repeat' : 'stop';
  }
  return state.offers < MAX_OFFERS ? 'offer' : 'stop';
}
