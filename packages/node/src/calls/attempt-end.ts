/** The end of one attempt of a call, as seen by the calling side. */

import type {CallOutcome} from '@turmericmill/routing';
import type {ServerLoad} from '@turmericmill/wire';

import {NO_LOAD, type CallFailure} from './call-leg.js';

/** Lowest HTTP status that counts as a server error. */
const SERVER_ERROR_STATUS = 500;

/**
 * End of an attempt. `failed`: no part of an answer arrived. `cut`: the answer
 * broke off after it had started. `left`: the caller disconnected first.
 */
export type AttemptEnd =
  | {kind: 'answered'; status: number; load: ServerLoad}
  | {kind: 'failed'; failure: CallFailure}
  | {kind: 'cut'; failure: CallFailure}
  | {kind: 'left'};

/** Failure of a call to a group without a ready backend server. */
export function noServer(group: string): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'no-server',
    detail: `No backend server of ${group} is ready.`,
    load: {...NO_LOAD},
  };
}

/** Failure of a call cancelled at its deadline; it may or may not have run. */
export function deadlinePassed(): CallFailure {
  const detail = 'The deadline passed without an answer.';
  const load = {...NO_LOAD};
  return {outcome: 'unknown', reason: 'deadline', detail, load};
}

/** Outcome of an attempt to report to the load balancer. */
export function outcomeOf(end: AttemptEnd): CallOutcome {
  if (end.kind === 'left') return 'cancelled';
  if (end.kind === 'answered') {
    return end.status >= SERVER_ERROR_STATUS ? 'server-error' : 'answered';
  }
  const {reason, outcome} = end.failure;
  if (reason === 'server-unreachable') return 'failed';
  if (outcome === 'not-run') return 'refused';
  return reason === 'deadline' ? 'timed-out' : 'failed';
}

/**
 * Load that the server's node reported, if any; connection failures carry none.
 */
export function loadOf(end: AttemptEnd): ServerLoad | undefined {
  if (end.kind === 'answered') return end.load;
  if (end.kind === 'left') return undefined;
  const {load} = end.failure;
  return load.limit > 0 ? load : undefined;
}
