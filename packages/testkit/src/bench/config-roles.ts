/** Bytes that configuration nodes send, by their role in distribution. */

import {
  DISTRIBUTION_TIMING,
  Topology,
  type DistributionPreference,
} from '@turmericmill/distribution';

import {fitLine} from '../capacity/slopes.js';

/** Size of the IP and TCP headers of a message. */
const HEADER_BYTES = 40;

/** What one node sent during a measurement. */
export interface SentFigures {
  id: string;
  dataCentre: string;
  region: string;
  controlBytes: number;
  messages: number;
}

/** Bytes that a node sends, including headers. */
export interface RoleBytes {
  /** Mean of all nodes without changes. */
  quietBytesPerSecond: number;
  /** Bytes sent per change by a node without children. */
  leafBytesPerChange: number;
  /** Additional bytes sent per change for each child. */
  bytesPerChildAndChange: number;
  /** Bytes sent per change by the relay that sends the most. */
  relayBytesPerChange: number;
}

/** Durations of the two measurements, and the changes in the second. */
export interface RoleTimes {
  /** Duration in s of the measurement without changes. */
  quietSeconds: number;
  /** Duration in s of the measurement with changes. */
  seconds: number;
  changes: number;
}

/**
 * Computes the bytes by role. Quiet bytes, sent without changes, are the mean
 * of all nodes. The bytes of a change are what a node sent in addition to its
 * own quiet bytes; for nodes that are not relays, a straight line over their
 * number of children in all push trees is fitted to them.
 */
export function roleBytes(
  preference: DistributionPreference,
  quiet: readonly SentFigures[],
  busy: readonly SentFigures[],
  {quietSeconds, seconds, changes}: RoleTimes,
): RoleBytes {
  const points: {x: number; y: number}[] = [];
  let relayBytesPerChange = 0;
  for (const [index, node] of busy.entries()) {
    const quietNode = quiet[index];
    if (!quietNode) continue;
    const quietBytes = (bytesOf(quietNode) / quietSeconds) * seconds;
    const changeBytes = (bytesOf(node) - quietBytes) / changes;
    const topology = new Topology(node, busy);
    if (topology.isRelay) {
      relayBytesPerChange = Math.max(relayBytesPerChange, changeBytes);
    } else {
      points.push({x: countChildren(topology, preference), y: changeBytes});
    }
  }
  const {base, slope} = fitLine(points);
  const quietSum = quiet.reduce((sum, node) => sum + bytesOf(node), 0);
  return {
    quietBytesPerSecond: quietSum / quiet.length / quietSeconds,
    leafBytesPerChange: base,
    bytesPerChildAndChange: slope,
    relayBytesPerChange,
  };
}

/** Counts the children of a node in the push trees of all pushing relays. */
function countChildren(
  topology: Topology,
  preference: DistributionPreference,
): number {
  const {pushingRelays} = DISTRIBUTION_TIMING[preference];
  return topology.relays
    .slice(0, pushingRelays)
    .map(relay => topology.treeOf(relay).childrenOf(topology.self.id).length)
    .reduce((sum, count) => sum + count, 0);
}

/** Returns the bytes that a node sent, including headers. */
function bytesOf({controlBytes, messages}: SentFigures): number {
  return controlBytes + messages * HEADER_BYTES;
}
