/** Failures of requests that were sent to no server. */

import {NO_LOAD, type CallFailure} from '@turmericmill/node';

import type {KeyRefusal} from '../tenants/tenant-directory.js';

/** The key was revoked, or the configuration became stale, after arrival. */
export function keyNotValid(reason: KeyRefusal): CallFailure {
  const detail = 'The key could not be confirmed before the request was sent.';
  return {outcome: 'not-run', reason, detail, load: {...NO_LOAD}};
}

/** The request was not offered, as all servers have just refused such calls. */
export function allServersFull(service: string): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'overload',
    detail: `All servers of ${service} have just refused calls.`,
    load: {...NO_LOAD},
  };
}
