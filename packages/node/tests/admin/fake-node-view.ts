/** A `NodeView` with fixed answers. */

import {Err, LatencyHistograms, Ok, type Result} from '@turmericmill/utils';

import {
  NodeView,
  type AdminError,
  type CallStatistics,
  type DrainAnswer,
  type DrainRequest,
  type FleetStatus,
  type Readiness,
  type ServerList,
  type ServerQuery,
  type VersionInForce,
} from '../../src/admin/index.js';

/** Represents a node `a-1` with one server `s-1`. */
export class FakeNodeView extends NodeView {
  ready = true;
  broken = false;
  readonly drainRequests: DrainRequest[] = [];

  override readiness(): Readiness {
    return {ready: this.ready, reasons: this.ready ? [] : ['joining']};
  }

  override version(): VersionInForce {
    if (this.broken) throw new Error('secret detail');
    return {nodeId: 'a-1', version: 7, digest: 'd7', enforcedAtMs: 1000};
  }

  override status(): FleetStatus {
    const dataCentres = [
      {dataCentre: 'nairobi-a', nodes: 3, versions: {'6': 1, '7': 2}},
    ];
    const laggards = ['a-3'];
    return {version: 7, digest: 'd7', dataCentres, laggards, unreachable: []};
  }

  override servers(query: ServerQuery): ServerList {
    const row = {
      node: 'a-1',
      dataCentre: 'nairobi-a',
      server: 's-1',
      group: 'nyota/homeowner-api',
      incarnation: 1,
      state: 'ready' as const,
      nodeStatus: 'alive' as const,
      slots: 12,
      connections: 130,
    };
    const matches = query.group === undefined || query.group === row.group;
    return {total: matches ? 1 : 0, servers: matches ? [row] : []};
  }

  override calls(): CallStatistics {
    const histograms = new LatencyHistograms();
    histograms.record('ada', 4);
    const latency = histograms.summaryOf('ada');
    const summary = {answered: 1, notRun: 0, unknown: 0, latency};
    const classes = {interactive: summary};
    return {sinceMs: 0, customers: {ada: summary}, classes};
  }

  override drain(request: DrainRequest): Result<DrainAnswer, AdminError> {
    return this.change(request, 'draining');
  }

  override undrain(request: DrainRequest): Result<DrainAnswer, AdminError> {
    return this.change(request, 'ready');
  }

  private change(
    request: DrainRequest,
    state: 'draining' | 'ready',
  ): Result<DrainAnswer, AdminError> {
    if (request.node !== 'a-1') {
      return Err({code: 'not-this-node', message: 'This is a-1.'});
    }
    if (request.server !== undefined && request.server !== 's-1') {
      return Err({code: 'unknown-server', message: 'No such server.'});
    }
    this.drainRequests.push(request);
    return Ok({node: 'a-1', servers: [{server: 's-1', state, inFlight: 2}]});
  }
}
