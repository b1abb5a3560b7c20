/**
 * The status of a member. Within one incarnation it only moves from `alive`
 * towards `left`; a newer incarnation, which only the member itself can make,
 * refutes whatever was said of the older one.
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
 * The status after word of `incoming` at the same incarnation. Word that a
 * member is alive changes nothing: it may be older than the suspicion.
 */
export function statusAfterWord(
  current: MemberStatus,
  incoming: MemberStatus,
): MemberStatus {
  const type = EVENT_BY_STATUS[incoming];
  return type ? chart.next(current, {type}) : current;
}

/** The status after word of `incoming` at a newer incarnation. */
export function statusAfterNewIncarnation(
  current: MemberStatus,
  incoming: MemberStatus,
): MemberStatus {
  const refuted = chart.next(current, {type: 'REFUTED'});
  return statusAfterWord(refuted, incoming);
}
