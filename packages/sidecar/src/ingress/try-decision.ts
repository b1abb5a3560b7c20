/** What to do after a try that brought no answer. */

import type {CallFailure} from '@turmericmill/node';

/** Tries at nodes that have no slot, before the caller is told to return. */
const MAX_OFFERS = 4;
/** Least time in ms that has to be left for another try. */
const LEAST_TIME_LEFT_MS = 30;

/** A request and its tries so far. */
export interface TryState {
  repeatable: boolean;
  /** Servers that the request was sent to. */
  reached: number;
  /** Servers that the request may be sent to in all. */
  maxAttempts: number;
  /** Nodes that were asked for a slot. */
  offers: number;
  /** Time in ms until the request's deadline. */
  remainingMs: number;
}

/**
 * `offer`: ask another node, at no cost. `repeat`: send it to another server,
 * out of the shared budget. `stop`: answer the caller.
 */
export type NextStep = 'offer' | 'repeat' | 'stop';

/**
 * Load pattern: servers that fail or vanish with work in flight while the
 * others are busy. What may have run is repeated only where that is harmless;
 * what has not reached a server may always be offered again.
 */
export function nextStep(state: TryState, failure: CallFailure): NextStep {
  const {outcome, reason, reachedServer = false} = failure;
  if (reason === 'quarantined') return 'stop';
  if (state.remainingMs < LEAST_TIME_LEFT_MS) return 'stop';
  const hasRun = outcome === 'unknown';
  if (hasRun && (reason === 'deadline' || !state.repeatable)) return 'stop';
  if (hasRun || reachedServer) {
    return state.reached < state.maxAttempts ? 'repeat' : 'stop';
  }
  return state.offers < MAX_OFFERS ? 'offer' : 'stop';
}
