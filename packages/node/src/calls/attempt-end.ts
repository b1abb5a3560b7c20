/** How one try of a call ended for the caller's side, and what it teaches. */

import type {CallOutcome} from '@turmericmill/routing';
import type {ServerLoad} from '@turmericmill/wire';

import {NO_LOAD, type CallFailure} from './call-leg.js';

/** First status with which a server says that it failed. */
const SERVER_ERROR_STATUS = 500;

/** How a try ended for the caller's side. */
export type AttemptEnd =
  | {kind: 'answered'; status: number; load: ServerLoad}
  | {kind: 'failed'; failure: CallFailure}
  | {kind: 'cut'; failure: CallFailure}
  | {kind: 'left'};

/** No backend server of the group takes calls. */
export function noServer(group: string): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'no-server',
    detail: `No backend server of ${group} is ready.`,
    load: {...NO_LOAD},
  };
}

/** The call was cancelled at its deadline; whether it ran is not known. */
export function deadlinePassed(): CallFailure {
  const detail = 'The deadline passed without an answer.';
  const load = {...NO_LOAD};
  return {outcome: 'unknown', reason: 'deadline', detail, load};
}

/** What balancing learns from the end of a try. */
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

/** The load of a server's node; failures of the way carry none. */
export function loadOf(end: AttemptEnd): ServerLoad | undefined {
  if (end.kind === 'answered') return end.load;
  if (end.kind === 'left') return undefined;
  const {load} = end.failure;
  return load.limit > 0 ? load : undefined;
}
