/**
 * The state of a backend server as its node sees it. A draining server does not
 * become ready again within one incarnation, unless the order is revoked.
 */

import {readChart, StateChart, type ChartEvent} from '@turmericmill/utils';
import type {ServerState} from '@turmericmill/wire';

/** `gone` servers are kept only to recognize late word of them. */
export type ServerLifeState = ServerState | 'gone';

export type ServerEventType =
  | 'ANNOUNCED_STARTING'
  | 'ANNOUNCED_READY'
  | 'ANNOUNCED_DRAINING'
  | 'DRAIN_ORDERED'
  | 'DRAIN_REVOKED'
  | 'LAPSED'
  | 'WITHDRAWN';

interface ServerEvent extends ChartEvent {
  type: ServerEventType;
}

/** What the guards of the chart look at. */
export interface ServerHistory {
  /** It keeps restarting: hold it back. */
  damped: boolean;
  /** It has drained in this incarnation, perhaps before a lapse. */
  drained: boolean;
}

const chart = new StateChart<ServerLifeState, ServerEvent, ServerHistory>(
  readChart(import.meta.url, './server-state.chart.json'),
  {isDamped: ({damped}) => damped, isDrained: ({drained}) => drained},
);

/** The state that follows. */
export function nextServerState(
  state: ServerLifeState,
  type: ServerEventType,
  history: ServerHistory,
): ServerLifeState {
  return chart.next(state, {type}, history);
}
