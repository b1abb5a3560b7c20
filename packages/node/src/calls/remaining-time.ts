/** Time left of a call that was held up on its way. */

import type {CallStart} from '@turmericmill/wire';

type TimedCall = Pick<CallStart, 'remainingMs' | 'urgency'>;

/** The call with `waitedMs` taken off all that it says of its time left. */
export function subtractWaitingTime<C extends TimedCall>(
  call: C,
  waitedMs: number,
): C {
  const remainingMs = call.remainingMs - waitedMs;
  if (!call.urgency) return {...call, remainingMs};
  const targetRemainingMs = call.urgency.targetRemainingMs - waitedMs;
  const urgency = {...call.urgency, targetRemainingMs};
  return {...call, remainingMs, urgency};
}
