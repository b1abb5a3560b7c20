/** How one try of a request ended, and what is learned from it. */

import {NO_LOAD, type CallFailure} from '@turmericmill/node';
import type {CallOutcome} from '@turmericmill/routing';
import type {ServerLoad} from '@turmericmill/wire';

/** First status with which a server says that it failed. */
const SERVER_ERROR_STATUS = 500;

/** How one try ended. */
export type TryEnd =
  | {kind: 'answered'; status: number; load: ServerLoad}
  | {kind: 'failed'; failure: CallFailure}
  | {kind: 'cut'}
  | {kind: 'left'};

/** No server of the service takes calls. */
export function noServer(service: string): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'no-server',
    detail: `No server of ${service} is ready.`,
    load: {...NO_LOAD},
  };
}

/** Nobody was asked, as all have refused such calls a moment ago. */
export function allFull(service: string): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'overload',
    detail: `All servers of ${service} have just refused calls.`,
    load: {...NO_LOAD},
  };
}

/** The call was cancelled; whether it ran is not known. */
export function deadlinePassed(): CallFailure {
  const detail = 'The deadline passed without an answer.';
  const load = {...NO_LOAD};
  return {outcome: 'unknown', reason: 'deadline', detail, load};
}

/** What balancing learns from the end of a try. */
export function outcomeOf(end: TryEnd): CallOutcome {
  if (end.kind === 'left') return 'cancelled';
  if (end.kind === 'cut') return 'failed';
  if (end.kind === 'answered') {
    return end.status >= SERVER_ERROR_STATUS ? 'server-error' : 'answered';
  }
  const {reason, outcome} = end.failure;
  if (reason === 'server-unreachable') return 'failed';
  if (outcome === 'not-run') return 'refused';
  return reason === 'deadline' ? 'timed-out' : 'failed';
}

/** The load of a server's node; failures of the way carry none. */
export function loadOf(end: TryEnd): ServerLoad | undefined {
  if (end.kind === 'answered') return end.load;
  if (end.kind !== 'failed') return undefined;
  const {load} = end.failure;
  return load.limit > 0 ? load : undefined;
}
