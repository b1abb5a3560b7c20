/**
 * Messages of membership and failure detection. All are sent as UDP datagrams,
 * except `memberSync`, which uses TCP. Records are packed as arrays to save
 * bandwidth, as each node sends several datagrams a second at all times.
 */

export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** `starting` and `draining` servers accept no new calls. */
export type ServerState = 'starting' | 'ready' | 'draining';

/** A backend server as announced by its node. */
export interface ServerRecord {
  /** Name of the server, unique within its node. */
  id: string;
  /** Backend server group as `team/name`; in a sidecar, the service. */
  group: string;
  /** Increases with each start of the server. */
  incarnation: number;
  state: ServerState;
  /** Maximum number of calls that run at once. */
  slots: number;
  /** Maximum number of connections to the server. */
  connections: number;
  /**
   * Time in ms since the epoch at which the server became ready and its slow
   * start begins.
   */
  readySinceMs: number;
  /**
   * Version of the server's program; absent from nodes without roll-outs and
   * from nodes of earlier releases.
   */
  version?: string;
}

/** A node as known to other nodes. */
export interface MemberRecord {
  id: string;
  /** Increases with each start, and when the node refutes a suspicion. */
  incarnation: number;
  status: MemberStatus;
  /** IP address; TCP and UDP use the same port number. */
  address: string;
  port: number;
  dataCentre: string;
  region: string;
  servers: ServerRecord[];
  /** Increases with each change of `servers` within one incarnation. */
  revision: number;
}

/** Index of a status in `MEMBER_STATUSES`. */
export type MemberStatusCode = number;

/** Index of a state in `SERVER_STATES`. */
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
  version?: string,
];

/** A new status only, for a member that the receiver already knows. */
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

/** Summary of a region for the nodes of other regions. */
export interface RegionSummary {
  region: string;
  /** Time of creation in ms; the newest summary of a region is used. */
  atMs: number;
  /** Number of members that are alive. */
  members: number;
  /** Ready slots per backend server group; empty if there are too many. */
  slots: Record<string, number>;
  /** Some nodes through which to reach the region; `servers` are empty. */
  gateways: MemberRecord[];
}

/** Direct probe, answered by `probeAck` with the same sequence number. */
export interface Probe {
  seq: number;
  from: string;
  /** Hash of the target's id, as another host may now have its address. */
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

/** Answers a probe. */
export interface ProbeAck {
  seq: number;
  /** The probed member, also in an answer forwarded by another node. */
  from: string;
  updates?: PackedUpdate[];
}

/** Updates that need no reply. */
export interface MemberGossip {
  from: string;
  updates: PackedUpdate[];
  regions?: RegionSummary[];
}

/** Digest of the sender's members for comparison; also requests to join. */
export interface MemberDigest {
  sender: PackedMember;
  /** One 32-bit big-endian checksum for each bucket of members. */
  buckets: Uint8Array;
  /** Creation time in ms of the newest summary that is stored per region. */
  regions: Record<string, number>;
}

/** Members of the buckets that differ, and newer region summaries. */
export interface MemberSync {
  sender: PackedMember;
  /** True for the last message of an exchange. */
  reply: boolean;
  /**
   * The sender's buckets, for which the receiver replies with the members that
   * differ; empty in the last message.
   */
  buckets: Uint8Array;
  members: PackedMember[];
  regions: RegionSummary[];
}
