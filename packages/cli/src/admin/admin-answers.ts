/** Answers of the administration API, and bodies of requests to it. */

import type {LatencySummary} from '@turmericmill/utils';

/** Number of nodes of one data centre by the version that they enforce. */
export interface DataCentreVersions {
  dataCentre: string;
  nodes: number;
  versions: Record<string, number>;
}

/** Answer to `GET /v1/status`. */
export interface FleetStatus {
  version: number;
  digest: string;
  dataCentres: DataCentreVersions[];
  /** Ids of some of the nodes that are behind or do not report. */
  laggards: string[];
  /** Ids of some of the nodes that cannot be reached. */
  unreachable: string[];
}

/** One server in the answer to `GET /v1/servers`. */
export interface ServerRow {
  node: string;
  dataCentre: string;
  server: string;
  group: string;
  incarnation: number;
  state: string;
  nodeStatus: string;
  slots: number;
  connections: number;
}

/** Answer to `GET /v1/servers`. */
export interface ServerList {
  total: number;
  servers: ServerRow[];
}

/** Statistics on the calls of one customer or class. */
export interface CallSummary {
  answered: number;
  notRun: number;
  unknown: number;
  latency: LatencySummary;
}

/** Answer to `GET /v1/calls`. */
export interface CallStatistics {
  sinceMs: number;
  customers: Record<string, CallSummary>;
  classes: Record<string, CallSummary>;
}

/** Answer to `POST /v1/drain` and `POST /v1/undrain`. */
export interface DrainAnswer {
  node: string;
  servers: {server: string; state: string; inFlight: number}[];
}

/** Body of `POST /v1/drain` and `POST /v1/undrain`. */
export interface DrainRequest {
  node: string;
  server?: string;
}
