/** Decides what to do after an attempt that brought no answer. */

import type {CallFailure} from '@turmericmill/node';

/** Nodes found without a slot before the caller is told to retry later. */
const MAX_OFFERS = 4;
/** Time in ms that has to be left for another attempt. */
const MIN_REMAINING_MS = 30;

/** A request and its attempts so far. */
export interface AttemptState {
  repeatable: boolean;
  /** Number of servers that the request was sent to. */
  reached: number;
  /** Number of servers that the request may be sent to in all. */
  maxAttempts: number;
  /** Number of nodes that were asked for a slot. */
  offers: number;
  /** Time in ms until the request's deadline. */
  remainingMs: number;
}

/**
 * `offer`: ask another node, at no cost. `repeat`: send it to another server,
 * out of the shared retry budget. `stop`: answer the caller.
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
