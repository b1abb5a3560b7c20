/**
 * Messages of failure detection. All go in UDP datagrams, except `memberSync`,
 * which goes over TCP. Records travel packed as arrays, because each node sends
 * a few datagrams each second for as long as it lives.
 */

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

/** Position of a status in `MEMBER_STATUSES`. */
export type MemberStatusCode = number;

/** Position of a state in `SERVER_STATES`. */
export type ServerStateCode = number;

/** A `ServerRecord` as an array. */
export type PackedServer = [
  id: string,
  group: string,
  incarnation: number,
  state: ServerStateCode,
  slots: number,
  connections: number,
  readySinceMs: number,
];

/** A change of status alone, for a member that the receiver knows. */
export type PackedStatus = [
  id: string,
  incarnation: number,
  status: MemberStatusCode,
];

/** A whole `MemberRecord` as an array. */
export type PackedMember = [
  id: string,
  incarnation: number,
  status: MemberStatusCode,
  revision: number,
  address: string,
  port: number,
  dataCentre: string,
  region: string,
  servers: PackedServer[],
];

export type PackedUpdate = PackedStatus | PackedMember;

/** What a region has to offer, for nodes beyond it. */
export interface RegionSummary {
  region: string;
  /** Time in ms at which its writer made it; the newest counts. */
  atMs: number;
  members: number;
  /** Ready slots of each backend server group; empty where left out. */
  slots: Record<string, number>;
  /** A few nodes through which the region is reached, without servers. */
  gateways: MemberRecord[];
}

/** Direct probe; answered by `probeAck` with the same sequence number. */
export interface Probe {
  seq: number;
  from: string;
  /** Hash of the target's id: a new host may have its address. */
  to: number;
  updates?: PackedUpdate[];
}

/** Asks the receiver to probe `target` for the sender. */
export interface ProbeRequest {
  seq: number;
  from: string;
  target: string;
  updates?: PackedUpdate[];
}

/** `from` is the probed member, also when a helper passes the answer on. */
export interface ProbeAck {
  seq: number;
  from: string;
  updates?: PackedUpdate[];
}

/** News that need no answer. */
export interface MemberGossip {
  from: string;
  updates: PackedUpdate[];
  regions?: RegionSummary[];
}

/** What the sender holds, for comparison; also asks to join. */
export interface MemberDigest {
  sender: PackedMember;
  /** One 32-bit big-endian checksum for each bucket of members. */
  buckets: Uint8Array;
  /** Time in ms of the newest summary held of each region. */
  regions: Record<string, number>;
}

/** Members of the buckets that differ, and newer summaries. */
export interface MemberSync {
  sender: PackedMember;
  /** True for the last message of an exchange. */
  reply: boolean;
  /** The sender's buckets; the receiver answers with what they lack. */
  buckets: Uint8Array;
  members: PackedMember[];
  regions: RegionSummary[];
}
