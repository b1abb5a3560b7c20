/** Why a server takes no call, as told to the node that sent it. */

import type {FailureReason} from '@turmericmill/wire';

export const REFUSAL_DETAILS: Partial<Record<FailureReason, string>> = {
  overload: 'The server has no slot in time.',
  deadline: 'The deadline is too near.',
  draining: 'The server is leaving.',
  'server-failed': 'The server cannot be reached.',
  quarantined: 'The request has crashed servers.',
  'stale-config': 'The tenant cannot be confirmed here.',
};
