/**
 * Messages of a call between its entry node and the node of the backend server.
 */

/** Alternating header names and values, in the order received. */
export type FlatHeaders = string[];

/** Attributes of a call, except its deadline and its body. */
export interface CallRequest {
  /** Id of the backend server, unique within its node. */
  serverId: string;
  /** Incarnation of the backend server that the caller selected. */
  serverIncarnation: number;
  /** Backend server group as `team/name`; in a sidecar, the service. */
  group: string;
  method: string;
  path: string;
  headers: FlatHeaders;
  customer: string;
  /** Name of the tenant whose key the request carried; absent without one. */
  tenant?: string;
  /** Version of the configuration that the key was last checked against. */
  tenantVersion?: number;
  class: string;
  priority: 'interactive' | 'bulk';
  /** Number of nodes that the call has passed since its first caller. */
  hops: number;
  /** Identifies the request for quarantine. */
  fingerprint: string;
  /** Absent if `priority` alone determines how the call waits for a slot. */
  urgency?: CallUrgency;
}

/** Attributes for the queue of the server, in addition to the deadline. */
export interface CallUrgency {
  /** Rank among the routes of a service; 0 is the most urgent. */
  rank: number;
  /**
   * Remaining time in ms until the target latency has passed; 0 or less if it
   * has passed already or the call may not wait for a slot.
   */
  targetRemainingMs: number;
  /** True if the caller prefers an answer after the target to a refusal. */
  acceptsLate: boolean;
  /** True if the request may run more than once. */
  repeatable: boolean;
}

/** Starts a call. */
export interface CallStart extends CallRequest {
  /** Unique within the connection. */
  callId: number;
  /**
   * Remaining time in ms until the deadline, at the time of sending. Not an
   * absolute time, as the clocks of hosts differ.
   */
  remainingMs: number;
  /** Time of sending in ms by the sender's monotonic clock. */
  sentMs: number;
  /** True if `body` is the whole body of the request. */
  end: boolean;
  body: Uint8Array;
}

/** A chunk of the body of a request. */
export interface CallData {
  callId: number;
  chunk: Uint8Array;
  /** True for the last chunk. */
  end: boolean;
  /** Empty unless `end` is true. */
  trailers: FlatHeaders;
}

/**
 * Flow control: allows the receiver to send `bytes` more of the body, that of
 * the request in `callWindow` and that of the answer in `answerWindow`.
 */
export interface CallWindow {
  callId: number;
  bytes: number;
}

/** Cancels a call; its answer is no longer needed. */
export interface CallCancel {
  callId: number;
}

/**
 * Load of a backend server according to its node. Sent with each answer; valid
 * for calls of the same class as the answered call.
 */
export interface ServerLoad {
  /** Calls of all classes that occupy a slot. */
  inFlight: number;
  /** Waiting calls that precede a new call of the same priority. */
  queued: number;
  /** Calls that may run at once; 0 if the server accepts no new calls. */
  limit: number;
  /** Moving average in ms of the service time of the class; absent at first. */
  serviceMs?: number;
  /**
   * Expected wait in ms of a new call of the same rank; absent if the node does
   * not estimate it.
   */
  waitMs?: number;
}

/** Starts an answer. */
export interface AnswerStart {
  callId: number;
  status: number;
  headers: FlatHeaders;
  load: ServerLoad;
  /** True if `body` is the whole body of the answer. */
  end: boolean;
  body: Uint8Array;
}

/** A chunk of the body of an answer. */
export interface AnswerData {
  callId: number;
  chunk: Uint8Array;
  /** True for the last chunk. */
  end: boolean;
  /** Empty unless `end` is true. */
  trailers: FlatHeaders;
}

/**
 * `not-run`: no byte of the request reached the backend server, or, if
 * `reachedServer` is set, the server did not run it. `unknown`: the server may
 * have run it.
 */
export type Outcome = 'not-run' | 'unknown';

/** Why a call failed. `malformed`: a header of the mesh cannot be parsed. */
export type FailureReason =
  | 'malformed'
  | 'too-many-hops'
  | 'overload'
  | 'deadline'
  | 'draining'
  | 'no-server'
  | 'quarantined'
  | 'server-failed'
  | 'server-unreachable'
  | 'connection-lost'
  | 'claimed'
  | 'claims-unavailable'
  | 'balance-used-up'
  | 'stale-config'
  | 'unknown-key'
  | 'cancelled';

/** Ends a call that has failed. */
export interface AnswerFailed {
  callId: number;
  outcome: Outcome;
  reason: FailureReason;
  /** Description of the failure for people. */
  detail: string;
  load: ServerLoad;
  /** True if the server received the request and did not run it. */
  reachedServer?: boolean;
}
