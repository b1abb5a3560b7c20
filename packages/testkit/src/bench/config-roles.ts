/** Bytes of configuration nodes by their role in distribution. */

import {
  DISTRIBUTION_TIMING,
  Topology,
  type DistributionPreference,
} from '@turmericmill/distribution';

import {fitLine} from '../capacity/slopes.js';

/** IP and TCP headers of a message, in bytes. */
const HEADER_BYTES = 40;

/** What one node sent in a time. */
export interface SentFigures {
  id: string;
  dataCentre: string;
  region: string;
  controlBytes: number;
  messages: number;
}

/** Bytes that a node sends, headers included. */
export interface RoleBytes {
  quietBytesPerSecond: number;
  leafBytesPerChange: number;
  bytesPerChildAndChange: number;
  /** Of the relay that sends the most. */
  relayBytesPerChange: number;
}

/** Times in s that the figures of a run are for. */
export interface RoleTimes {
  quietSeconds: number;
  seconds: number;
  changes: number;
}

/**
 * Bytes by role: quiet ones are the mean of all nodes; those of a change are
 * what a node sent beyond its own quiet ones. For nodes that aren't relays they
 * are a straight line over the number of children in all push trees.
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
    const before = quiet[index];
    if (!before) continue;
    const calm = (bytesOf(before) / quietSeconds) * seconds;
    const extra = (bytesOf(node) - calm) / changes;
    const topology = new Topology(node, busy);
    if (topology.isRelay) {
      relayBytesPerChange = Math.max(relayBytesPerChange, extra);
    } else {
      points.push({x: childrenOf(topology, preference), y: extra});
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

/** Children of a node in the trees of all relays that push. */
function childrenOf(
  topology: Topology,
  preference: DistributionPreference,
): number {
  const {pushingRelays} = DISTRIBUTION_TIMING[preference];
  return topology.relays
    .slice(0, pushingRelays)
    .map(relay => topology.treeOf(relay).childrenOf(topology.self.id).length)
    .reduce((sum, count) => sum + count, 0);
}

function bytesOf({controlBytes, messages}: SentFigures): number {
  return controlBytes + messages * HEADER_BYTES;
}
