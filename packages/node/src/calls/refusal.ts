/** Which HTTP status a refusal has. */

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
  cancelled: 499,
};

/** The status with which the caller learns of a failure. */
export function refusalStatus(failure: CallFailure): number {
  return STATUS_BY_REASON[failure.reason];
}
