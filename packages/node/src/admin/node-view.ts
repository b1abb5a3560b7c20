/** The state and actions of a node that the administration API offers. */

import type {MemberStatus, ServerState} from '@turmericmill/wire';
import type {LatencySummary, Result} from '@turmericmill/utils';

import type {AdminError} from './admin-error.js';

/** Why a node does not accept calls. */
export type NotReadyReason =
  'no-configuration' | 'joining' | 'log-not-read' | 'stopping';

/** Whether a node accepts calls. */
export interface Readiness {
  ready: boolean;
  reasons: NotReadyReason[];
}

/** The configuration that a node enforces. */
export interface VersionInForce {
  nodeId: string;
  /** Offset of the accepted record; -1 before the first version. */
  version: number;
  digest: string;
  /** Time in ms since the epoch at which it came into force. */
  enforcedAtMs: number;
}

/** Nodes of one data centre by the version that they enforce. */
export interface DataCentreVersions {
  dataCentre: string;
  nodes: number;
  /** Number of nodes by version. */
  versions: Record<string, number>;
}

/** The state of the fleet, as known to the answering node. */
export interface FleetStatus {
  /** Highest accepted version that the answering node knows. */
  version: number;
  digest: string;
  dataCentres: DataCentreVersions[];
  /** Some of the nodes that enforce an older version or do not report. */
  laggards: string[];
  /** Some of the nodes that cannot be reached. */
  unreachable: string[];
}

/** The state of a backend server, as known to the answering node. */
export interface ServerRow {
  node: string;
  dataCentre: string;
  server: string;
  group: string;
  incarnation: number;
  state: ServerState;
  nodeStatus: MemberStatus;
  slots: number;
  connections: number;
}

/** Which servers to list. */
export interface ServerQuery {
  /** Only this backend server group, `team/name`. */
  group?: string;
  /** Maximum number of rows. */
  limit: number;
}

/** The servers that match a query, up to its limit. */
export interface ServerList {
  /** Number of matching servers, including those beyond the limit. */
  total: number;
  servers: ServerRow[];
}

/** Outcomes and latencies of the calls of one customer or class. */
export interface CallSummary {
  answered: number;
  /** Refused before any byte reached a backend server. */
  notRun: number;
  unknown: number;
  /** Latencies of the answered calls. */
  latency: LatencySummary;
}

/** Calls that entered the mesh at the answering node since its start. */
export interface CallStatistics {
  sinceMs: number;
  customers: Record<string, CallSummary>;
  classes: Record<string, CallSummary>;
}

/** Which server to drain; all servers of the node if `server` is omitted. */
export interface DrainRequest {
  node: string;
  server?: string;
}

/** The servers that are now in the requested state, changed or not. */
export interface DrainAnswer {
  node: string;
  servers: {server: string; state: ServerState; inFlight: number}[];
}

/** Queries and actions that a node offers to its administrators. */
export abstract class NodeView {
  abstract readiness(): Readiness;
  abstract version(): VersionInForce;
  abstract status(): FleetStatus;
  abstract servers(query: ServerQuery): ServerList;
  abstract calls(): CallStatistics;

  /** Stops new calls to servers of this node; calls in flight continue. */
  abstract drain(request: DrainRequest): Result<DrainAnswer, AdminError>;

  /** Allows new calls to drained servers of this node again. */
  abstract undrain(request: DrainRequest): Result<DrainAnswer, AdminError>;
}
