/** What the administration API reads of a node, and asks it to do. */

import type {MemberStatus, ServerState} from '@turmericmill/wire';
import type {LatencySummary, Result} from '@turmericmill/utils';

import type {AdminError} from './admin-error.js';

/** Why a node takes no calls. */
export type NotReadyReason =
  'no-configuration' | 'joining' | 'log-not-read' | 'stopping';

/** Whether a node takes calls. */
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
  /** Time in ms since the epoch since which it is in force. */
  enforcedAtMs: number;
}

/** Nodes of one data centre by the version that they enforce. */
export interface DataCentreVersions {
  dataCentre: string;
  nodes: number;
  /** Number of nodes by version. */
  versions: Record<string, number>;
}

/** The fleet as the answering node knows it. */
export interface FleetStatus {
  /** Highest version that the answering node has seen accepted. */
  version: number;
  digest: string;
  dataCentres: DataCentreVersions[];
  /** Some of the nodes that enforce an older version. */
  laggards: string[];
  /** Some of the nodes that cannot be reached. */
  unreachable: string[];
}

/** One backend server as the mesh knows it. */
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
  /** Largest number of rows. */
  limit: number;
}

/** A part of the list of servers. */
export interface ServerList {
  /** Number of servers that match, listed or not. */
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

/** Which server to drain; every server of the node when none is named. */
export interface DrainRequest {
  node: string;
  server?: string;
}

/** The servers that changed, or were already in the wanted state. */
export interface DrainAnswer {
  node: string;
  servers: {server: string; state: ServerState; inFlight: number}[];
}

/** Reads and actions that a node offers to its administrators. */
export abstract class NodeView {
  abstract readiness(): Readiness;
  abstract version(): VersionInForce;
  abstract status(): FleetStatus;
  abstract servers(query: ServerQuery): ServerList;
  abstract calls(): CallStatistics;

  /** Stops new work for servers of this node; calls in flight go on. */
  abstract drain(request: DrainRequest): Result<DrainAnswer, AdminError>;

  /** Lets drained servers of this node take work again. */
  abstract undrain(request: DrainRequest): Result<DrainAnswer, AdminError>;
}
