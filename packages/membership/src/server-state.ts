/**
 * State machine of a backend server at its node. A draining server does not
 * become ready again within the same incarnation unless the order to drain is
 * revoked.
 */

import {readChart, StateChart, type ChartEvent} from '@turmericmill/utils';
import type {ServerState} from '@turmericmill/wire';

/** `gone` servers are kept only to recognize late announcements. */
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

/** Inputs of the chart's guards. */
export interface ServerHistory {
  /** The server restarts too often and must not become ready yet. */
  damped: boolean;
  /** The server drained in this incarnation, possibly before a lapse. */
  drained: boolean;
}

const chart = new StateChart<ServerLifeState, ServerEvent, ServerHistory>(
  readChart(import.meta.url, './server-state.chart.json'),
  {isDamped: ({damped}) => damped, isDrained: ({drained}) => drained},
);

/** The state after an event. */
export function nextServerState(
  state: ServerLifeState,
  type: ServerEventType,
  history: ServerHistory,
): ServerLifeState {
  return chart.next(state, {type}, history);
}
