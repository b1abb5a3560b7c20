/** Messages of one call from its entry node to the node beside the server. */

/** Header names and values in the order received, flattened. */
export type FlatHeaders = string[];

/** What a call asks for, apart from its deadline and its body. */
export interface CallRequest {
  /** The backend server's name at its node, and its incarnation. */
  serverId: string;
  serverIncarnation: number;
  /** Backend server group as `team/name`. */
  group: string;
  method: string;
  path: string;
  headers: FlatHeaders;
  customer: string;
  class: string;
  priority: 'interactive' | 'bulk';
  /** Nodes that the call has passed, from the first caller on. */
  hops: number;
  /** Identifies the request for quarantine. */
  fingerprint: string;
  /** How the call waits for a slot; absent where `priority` alone decides. */
  urgency?: CallUrgency;
}

/** What a queue weighs of a call beyond its deadline. */
export interface CallUrgency {
  /** Rank among the routes of a service; 0 is the most urgent. */
  rank: number;
  /** Time left in ms until the answer loses worth. */
  targetRemainingMs: number;
  /** True if an answer after the target is wanted rather than a refusal. */
  acceptsLate: boolean;
  /** True if the request may run more than once. */
  repeatable: boolean;
}

/** Opens a call. `callId` is unique within the connection. */
export interface CallStart extends CallRequest {
  callId: number;
  /** Time left in ms until the deadline; clocks of hosts differ. */
  remainingMs: number;
  /** Time in ms at which it was sent, by the sender's steady clock. */
  sentMs: number;
  /** True when this message carries the whole body. */
  end: boolean;
  body: Uint8Array;
}

/** A part of a request's body. */
export interface CallData {
  callId: number;
  chunk: Uint8Array;
  end: boolean;
  trailers: FlatHeaders;
}

/** Allows the receiver to send `bytes` more of this call's body. */
export interface CallWindow {
  callId: number;
  bytes: number;
}

/** The sender has no more interest in the call. */
export interface CallCancel {
  callId: number;
}

/**
 * State of a backend server, as its node sees it; goes with each answer and
 * holds for calls of the answered call's class.
 */
export interface ServerLoad {
  /** Calls that hold a slot, of all classes. */
  inFlight: number;
  /** Calls that wait and would go before a new one of the same priority. */
  queued: number;
  limit: number;
  /** Moving average in ms of the time that the server took for the class. */
  serviceMs?: number;
  /** Time in ms that a new call of the same urgency would wait. */
  waitMs?: number;
}

export interface AnswerStart {
  callId: number;
  status: number;
  headers: FlatHeaders;
  load: ServerLoad;
  end: boolean;
  body: Uint8Array;
}

export interface AnswerData {
  callId: number;
  chunk: Uint8Array;
  end: boolean;
  trailers: FlatHeaders;
}

/** `not-run` only if no byte of the request reached the backend server. */
export type Outcome = 'not-run' | 'unknown';

/** `malformed`: a header of the mesh cannot be read. */
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
  | 'cancelled';

export interface AnswerFailed {
  callId: number;
  outcome: Outcome;
  reason: FailureReason;
  detail: string;
  load: ServerLoad;
  /** True if the request was sent to the server, which did not run it. */
  reachedServer?: boolean;
}
