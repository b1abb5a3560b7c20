/** Messages that distribute configuration between nodes. */

import type {ResourceWrite} from '@turmericmill/config';

import type {RolloutOrderNotice} from './rollouts.js';

/** Anti-entropy: the version that the sender has. */
export interface ConfigHave {
  version: number;
  digest: string;
  /** Highest version known to the sender; at least `version`. */
  known: number;
  /** False while the sender has not established that it may serve. */
  settled: boolean;
  /** True if the receiver has to reply with its own version. */
  ask: boolean;
}

/** Requests all changes after version `have`; -1 requests all resources. */
export interface ConfigFetch {
  have: number;
}

/**
 * All changes in (`from`, `to`]. Applied at any version in
 * `from <= version < to`, they result in `to`, whose digest must be `digest`.
 */
export interface ConfigDelta {
  from: number;
  to: number;
  digest: string;
  writes: ResourceWrite[];
  /** Time in ms at which the accepted record was first read from the log. */
  acceptedAtMs: number;
  /** Root of the push tree for forwarding; absent in the reply to a fetch. */
  root?: string;
}

/** One part of a snapshot of all resources at `version`. */
export interface ConfigSnapshotPart {
  version: number;
  digest: string;
  /** Index of this part, from 0. */
  part: number;
  /** Number of parts of the snapshot. */
  parts: number;
  writes: ResourceWrite[];
}

/** Refuses a fetch: the receiver should fetch from another peer. */
export interface ConfigBusy {
  /** Time in ms before which the receiver must not ask the sender again. */
  retryAfterMs: number;
}

/** Versions in force in the sender's subtree, or, as a reply, everywhere. */
export interface VersionReport {
  /** Number of nodes per data centre and version. */
  counts: Record<string, Record<string, number>>;
  /** Ids of some of the nodes that are behind or do not report. */
  laggards: string[];
}

/** Requests the versions in force in all data centres from a report root. */
export interface FleetQuery {
  /** Time of sending in ms; only for the receiver's log. */
  atMs: number;
}

/** Difference between the documents of two versions. */
export interface DocumentChange {
  /** Version of the document to which `delta` applies. */
  baseVersion: number;
  /** Fossil delta encoding, including its checksum; deflated. */
  delta: Uint8Array;
}

/** Announces the configuration that the sender has in force. */
export interface ConfigNotice {
  version: number;
  /** Time in ms since the sender's source last confirmed this version. */
  ageMs: number;
  /** Time in ms by the sender's clock; absent from nodes of earlier releases. */
  sentMs?: number;
  /**
   * Highest era of the store that the sender knows; absent while it knows none,
   * and from nodes of earlier releases.
   */
  storeEra?: number;
  /** Nonce of the question that this notice answers; absent without one. */
  nonce?: number;
  /**
   * In an answer: upper bound in ms on the time since the store had no later
   * version than this one; absent if the sender knows none.
   */
  confirmedAgeMs?: number;
  /** The published document, deflated; absent if only announced. */
  document?: Uint8Array;
  /** Sent in place of `document` to nodes that have the previous version. */
  change?: DocumentChange;
  /**
   * Changes that lead up to the base of `change`, each to the base of the next,
   * for nodes that have missed some; absent without any.
   */
  earlierChanges?: readonly DocumentChange[];
  /** Orders of roll-outs; absent while there are none. */
  rollouts?: readonly RolloutOrderNotice[];
}

/** Requests the receiver's configuration if it is newer than `version`. */
export interface ConfigAsk {
  version: number;
  /**
   * Set if the sender also has to know how lately the version was confirmed:
   * then the receiver answers in any case. Absent without strict revocation.
   */
  nonce?: number;
}
