/** Messages of failure detection; sent over UDP, `memberSync` over TCP. */

export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** `starting` and `draining` servers take no new calls. */
export type ServerState = 'starting' | 'ready' | 'draining';

/** A backend server as its node announces it. */
export interface ServerRecord {
  /** Unique together with the node: the server's own name. */
  id: string;
  /** Backend server group as `team/name`. */
  group: string;
  /** Grows with each start of the server. */
  incarnation: number;
  state: ServerState;
  slots: number;
  connections: number;
  /** Time in ms since the epoch at which the server became ready. */
  readySinceMs: number;
}

/** A node as the others know it. */
export interface MemberRecord {
  id: string;
  /** Grows with each start, and when the node refutes a suspicion. */
  incarnation: number;
  status: MemberStatus;
  /** IP number; TCP and UDP use the same port number. */
  address: string;
  port: number;
  dataCentre: string;
  region: string;
  servers: ServerRecord[];
  /** Grows with each change of `servers` within one incarnation. */
  revision: number;
}

/** What a region has to offer, for nodes beyond it. */
export interface RegionSummary {
  region: string;
  /** Time in ms at which its writer made it; the newest counts. */
  atMs: number;
  members: number;
  /** Ready slots of each backend server group. */
  slots: Record<string, number>;
  /** A few nodes through which the region is reached. */
  gateways: MemberRecord[];
}

/** Direct probe; answered by `probeAck` with the same sequence number. */
export interface Probe {
  seq: number;
  from: string;
  updates: MemberRecord[];
}

/** Asks the receiver to probe `target` for the sender. */
export interface ProbeRequest {
  seq: number;
  from: string;
  target: string;
  updates: MemberRecord[];
}

export interface ProbeAck {
  seq: number;
  from: string;
  updates: MemberRecord[];
}

/** Asks for, or carries, the sender's whole view of its scope. */
export interface MemberSync {
  reply: boolean;
  members: MemberRecord[];
  regions: RegionSummary[];
}
