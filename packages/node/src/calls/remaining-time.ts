/** Corrects the remaining time of a call that was queued or delayed. */

import type {CallStart} from '@turmericmill/wire';

type TimedCall = Pick<CallStart, 'remainingMs' | 'urgency'>;

/** Subtracts `waitedMs` from every remaining time of the call. */
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
