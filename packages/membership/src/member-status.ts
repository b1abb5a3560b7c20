/**
 * State machine of a member's status. Within one incarnation it only advances
 * from `alive` towards `left`. A newer incarnation, which only the member
 * itself can create, refutes every status of the older one.
 */

import {readChart, StateChart, type ChartEvent} from '@turmericmill/utils';
import type {MemberStatus} from '@turmericmill/wire';

export type StatusEventType =
  'SUSPECTED' | 'CONDEMNED' | 'DEPARTED' | 'REFUTED';

interface StatusEvent extends ChartEvent {
  type: StatusEventType;
}

const chart = new StateChart<MemberStatus, StatusEvent>(
  readChart(import.meta.url, './member-status.chart.json'),
);

const EVENT_BY_STATUS: Readonly<
  Record<MemberStatus, StatusEventType | undefined>
> = {
  alive: undefined,
  suspect: 'SUSPECTED',
  dead: 'CONDEMNED',
  left: 'DEPARTED',
};

/**
 * The status after an update of the same incarnation. `alive` changes nothing,
 * as the update may be older than a suspicion.
 */
export function statusAfterUpdate(
  current: MemberStatus,
  incoming: MemberStatus,
): MemberStatus {
  const type = EVENT_BY_STATUS[incoming];
  return type ? chart.next(current, {type}) : current;
}

/** The status after an update of a newer incarnation. */
export function statusAfterNewIncarnation(
  current: MemberStatus,
  incoming: MemberStatus,
): MemberStatus {
  const refuted = chart.next(current, {type: 'REFUTED'});
  return statusAfterUpdate(refuted, incoming);
}
