/** HTTP statuses of refused and failed calls. */

import type {FailureReason} from '@turmericmill/wire';

import type {CallFailure} from './call-leg.js';

const STATUS_BY_REASON: Readonly<Record<FailureReason, number>> = {
  malformed: 400,
  'too-many-hops': 508,
  overload: 503,
  deadline: 504,
  draining: 503,
  'no-server': 503,
  quarantined: 403,
  'server-failed': 502,
  'server-unreachable': 502,
  'connection-lost': 502,
  claimed: 409,
  'claims-unavailable': 503,
  'balance-used-up': 402,
  'stale-config': 503,
  'unknown-key': 401,
  cancelled: 499,
};

/** Status of the HTTP response that reports the failure to the caller. */
export function refusalStatus(failure: CallFailure): number {
  return STATUS_BY_REASON[failure.reason];
}
