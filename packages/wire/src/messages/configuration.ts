/** Messages that distribute configuration between nodes. */

import type {ResourceWrite} from '@turmericmill/config';

/** Anti-entropy: what the sender has in force. */
export interface ConfigHave {
  version: number;
  digest: string;
  /** Highest version that the sender has heard of; at least `version`. */
  known: number;
  /** False while the sender does not know whether it may serve. */
  settled: boolean;
  /** Whether the receiver is to answer with its own. */
  ask: boolean;
}

/** Asks for all changes after `have`; -1 asks for the whole set. */
export interface ConfigFetch {
  have: number;
}

/**
 * All changes in (`from`, `to`]. A receiver at any version in
 * `from <= version < to` ends at `to`; its digest then has to be `digest`.
 */
export interface ConfigDelta {
  from: number;
  to: number;
  digest: string;
  writes: ResourceWrite[];
  /** Time in ms at which the accepted record was first read from the log. */
  acceptedAtMs: number;
  /** Root of the push tree along which to pass it on; absent for a fetch. */
  root?: string;
}

/** One part of the whole set at `version`. */
export interface ConfigSnapshotPart {
  version: number;
  digest: string;
  part: number;
  parts: number;
  writes: ResourceWrite[];
}

/** The sender cannot serve a fetch now; try another peer, not before. */
export interface ConfigBusy {
  retryAfterMs: number;
}

/** Versions in force below the sender in the push tree. */
export interface VersionReport {
  /** Number of nodes by data centre, then by version. */
  counts: Record<string, Record<string, number>>;
  /** Some of the nodes that are behind, named. */
  laggards: string[];
}

/** Asks a report root for the versions in force everywhere. */
export interface FleetQuery {
  /** Time in ms at which it was sent; for the receiver's log alone. */
  atMs: number;
}

/** What leads from the document of one version to that of a later one. */
export interface DocumentChange {
  baseVersion: number;
  /** In the form of the Fossil delta encoding, with its checksum. */
  delta: Uint8Array;
}

/** A configuration that the sender has read or been given. */
export interface ConfigNotice {
  version: number;
  /** Time in ms since the sender has last heard of it from its source. */
  ageMs: number;
  /** The document as published, deflated. */
  document?: Uint8Array;
  /** In place of the document, for nodes that hold an earlier version. */
  change?: DocumentChange;
}

/** Asks for the receiver's configuration if it is newer than `version`. */
export interface ConfigAsk {
  version: number;
}
