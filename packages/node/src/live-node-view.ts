/** The administration API's view of a running node. */

import {Err, Ok, type Clock, type Result} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';

import {
  NodeView,
  type AdminError,
  type CallStatistics,
  type DrainAnswer,
  type DrainRequest,
  type FleetStatus,
  type NotReadyReason,
  type Readiness,
  type ServerList,
  type ServerQuery,
  type ServerRow,
  type VersionInForce,
} from './admin/index.js';
import type {Bus, LocalServer} from './bus.js';
import type {CallStatisticsRecorder} from './calls/call-statistics.js';
import type {FleetVersions} from './fleet-versions.js';

/** Dependencies of `LiveNodeView`. */
export interface LiveNodeParts {
  nodeId: string;
  bus: Bus;
  clock: Clock;
  statistics: CallStatisticsRecorder;
  fleet: FleetVersions;
  /** Number of calls in flight on a server of this node. */
  inFlight(serverId: string): number;
}

/** Node view that keeps the latest messages of the bus to answer queries. */
export class LiveNodeView extends NodeView {
  /** Time in ms since which calls are counted. */
  private readonly sinceMs: number;
  private members: readonly MemberRecord[] = [];
  private localServers: readonly LocalServer[] = [];
  private inForce: VersionInForce;
  private isSettled = false;
  private isStopping = false;

  constructor(private readonly parts: LiveNodeParts) {
    super();
    const {nodeId, bus, clock} = parts;
    this.sinceMs = clock.now();
    this.inForce = {
      nodeId,
      version: -1,
      digest: '',
      enforcedAtMs: this.sinceMs,
    };
    bus.subscribe('view-changed', ({members}) => {
      this.members = members;
    });
    bus.subscribe('local-servers', ({servers}) => {
      this.localServers = servers;
    });
    bus.subscribe('config-settled', () => {
      this.isSettled = true;
    });
    bus.subscribe('config-in-force', ({state}) => {
      const {version, digest} = state;
      this.inForce = {nodeId, version, digest, enforcedAtMs: clock.now()};
    });
  }

  /** Reports the node as not ready from now on. */
  setStopping(): void {
    this.isStopping = true;
  }

  override readiness(): Readiness {
    const reasons: NotReadyReason[] = [];
    if (!this.isSettled) reasons.push('log-not-read');
    else if (this.inForce.version < 0) reasons.push('no-configuration');
    if (this.isStopping) reasons.push('stopping');
    return {ready: reasons.length === 0, reasons};
  }

  override version(): VersionInForce {
    return this.inForce;
  }

  override status(): FleetStatus {
    const {version, digest} = this.inForce;
    const {fleet} = this.parts;
    const unreachable = this.members
      .filter(member => member.status === 'suspect')
      .map(member => member.id);
    return {
      version,
      digest,
      dataCentres: fleet.byDataCentre(),
      laggards: fleet.laggards(),
      unreachable,
    };
  }

  override servers({group, limit}: ServerQuery): ServerList {
    const rows = this.members.flatMap(toRows);
    const selected =
      group === undefined ? rows : rows.filter(row => row.group === group);
    return {total: selected.length, servers: selected.slice(0, limit)};
  }

  override calls(): CallStatistics {
    const {statistics} = this.parts;
    return {
      sinceMs: this.sinceMs,
      customers: statistics.summaries('customer'),
      classes: statistics.summaries('class'),
    };
  }

  override drain(req: DrainRequest): Result<DrainAnswer, AdminError> {
    return this.setDraining(req, true);
  }

  override undrain(req: DrainRequest): Result<DrainAnswer, AdminError> {
    return this.setDraining(req, false);
  }

  private setDraining(
    {node, server}: DrainRequest,
    draining: boolean,
  ): Result<DrainAnswer, AdminError> {
    const {nodeId, bus, inFlight} = this.parts;
    if (node !== nodeId) {
      const message = `This is node ${nodeId}, not ${node}.`;
      return Err({code: 'not-this-node', message});
    }
    const selected = this.localServers.filter(
      ({id}) => server === undefined || id === server,
    );
    if (selected.length === 0) {
      const message = 'No such backend server is beside this node.';
      return Err({code: 'unknown-server', message});
    }
    for (const {id} of selected) bus.publish('drain', {serverId: id, draining});
    const ids = new Set(selected.map(({id}) => id));
    const servers = this.localServers
      .filter(({id}) => ids.has(id))
      .map(({id, state}) => ({server: id, state, inFlight: inFlight(id)}));
    return Ok({node, servers});
  }
}

function toRows(member: MemberRecord): ServerRow[] {
  return member.servers.map(server => ({
    node: member.id,
    dataCentre: member.dataCentre,
    server: server.id,
    group: server.group,
    incarnation: server.incarnation,
    state: server.state,
    nodeStatus: member.status,
    slots: server.slots,
    connections: server.connections,
  }));
}
