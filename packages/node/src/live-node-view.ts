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

/** What the view reads. */
export interface LiveNodeParts {
  nodeId: string;
  bus: Bus;
  clock: Clock;
  statistics: CallStatisticsRecorder;
  fleet: FleetVersions;
  /** Calls that run on a server beside this node. */
  inFlight(serverId: string): number;
}

/** Follows the bus and answers from what it has seen. */
export class LiveNodeView extends NodeView {
  private readonly sinceMs: number;
  private members: readonly MemberRecord[] = [];
  private localServers: readonly LocalServer[] = [];
  private inForce: VersionInForce;
  private settled = false;
  private stopping = false;

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
      this.settled = true;
    });
    bus.subscribe('config-in-force', ({state}) => {
      const {version, digest} = state;
      this.inForce = {nodeId, version, digest, enforcedAtMs: clock.now()};
    });
  }

  /** From now on the node says that it is not ready. */
  setStopping(): void {
    this.stopping = true;
  }

  override readiness(): Readiness {
    const reasons: NotReadyReason[] = [];
    if (!this.settled) reasons.push('log-not-read');
    else if (this.inForce.version < 0) reasons.push('no-configuration');
    if (this.stopping) reasons.push('stopping');
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
    const wanted =
      group === undefined ? rows : rows.filter(row => row.group === group);
    return {total: wanted.length, servers: wanted.slice(0, limit)};
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
    const named = this.localServers.filter(
      ({id}) => server === undefined || id === server,
    );
    if (named.length === 0) {
      const message = 'No such backend server is beside this node.';
      return Err({code: 'unknown-server', message});
    }
    for (const {id} of named) bus.publish('drain', {serverId: id, draining});
    const ids = new Set(named.map(({id}) => id));
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
