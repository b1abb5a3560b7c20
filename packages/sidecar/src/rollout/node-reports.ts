/** Reports of this node to the coordinators of open orders. */

import type {CurrentServer} from '@turmericmill/membership';
import {
  CLOSING_EVIDENCE_INTERVAL_MS,
  EVIDENCE_INTERVAL_MS,
  sideOf,
  STATE_LIFETIME_MS,
} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';
import type {Message} from '@turmericmill/wire';

import type {Rollout} from './rollout-view.js';
import type {ViewedServerRollout} from './server-rollout.js';

export interface NodeReportsParts {
  nodeId: string;
  clock: Clock;
  serverRollout: ViewedServerRollout;
  /** The server beside this node, and whether it is closed. */
  current(): {server: CurrentServer; isClosed: boolean} | undefined;
  send(rollout: Rollout, message: Message): void;
}

export class NodeReports {
  /** Time in ms of the next report, by service. */
  private readonly dueMs = new Map<string, number>();
  /** Term and server that were last reported as closed. */
  private lastClosed = '';

  constructor(private readonly parts: NodeReportsParts) {}

  /** Sends what is due on an open order; to be called every 100 ms. */
  tick(rollout: Rollout): void {
    const {service, state} = rollout;
    const now = this.parts.clock.now();
    const isDue = now >= (this.dueMs.get(service) ?? -Infinity);
    this.reportClosed(rollout, isDue);
    if (!isDue) return;
    const intervalMs =
      state?.phase === 'closing'
        ? CLOSING_EVIDENCE_INTERVAL_MS
        : EVIDENCE_INTERVAL_MS;
    this.dueMs.set(service, now + intervalMs);
    this.reportEvidence(rollout, now);
  }

  private reportEvidence(rollout: Rollout, nowMs: number): void {
    const {serverRollout, nodeId} = this.parts;
    const report = serverRollout.report(rollout);
    const isHeard = nowMs - rollout.heardMs <= STATE_LIFETIME_MS;
    // Without news, an empty report asks what has become of the order.
    if (!report && isHeard) return;
    const {service, offset: orderOffset} = rollout;
    const empty = {service, orderOffset, nodeId, incarnation: 0};
    const body = report ?? {...empty, sequence: 0, rows: []};
    this.parts.send(rollout, {type: 'rolloutEvidence', body});
  }

  /** Reports a closed server at once, and again as long as the phase lasts. */
  private reportClosed(rollout: Rollout, isDue: boolean): void {
    const {nodeId, current} = this.parts;
    const {service, offset: orderOffset, state} = rollout;
    const {server, isClosed} = current() ?? {};
    if (state?.phase !== 'closing' || !server || !isClosed) return;
    if (server.service !== service) return;
    if (sideOf(rollout, server.version) !== 'old') return;
    const {term} = state;
    const key = `${nodeId}/${server.serverId}`;
    const id = `${orderOffset} ${term} ${key}`;
    if (!isDue && id === this.lastClosed) return;
    this.lastClosed = id;
    const body = {service, orderOffset, term, server: key};
    this.parts.send(rollout, {type: 'rolloutClosed', body});
  }
}
