/**
 * Chooses the nodes that read the configuration from the store. One node of
 * each data centre waits for changes at the store and forwards them to the
 * others there, so that store calls and bytes between data centres do not grow
 * with the fleet. A node without a fresh notice reads the store itself.
 */

import {rendezvousTop} from '@turmericmill/utils';

/** Number of readers in each data centre; each call to the store has a price. */
export const READERS_PER_DATA_CENTRE = 1;
/** Interval in ms at which a reader announces the version in force. */
export const BEACON_INTERVAL_MS = 300;
/**
 * Time in ms without a fresh notice after which a node reads the store itself.
 * With the beacon interval and one read, this stays within the two seconds that
 * a change may take.
 */
export const STALE_AFTER_MS = 1_100;

const READER_KEY = 'config-readers';

/** View of one node of its data centre, and the age of its configuration. */
export interface SourceState {
  nodeId: string;
  /** Ids of the nodes of this data centre, including this node. */
  localNodeIds: readonly string[];
  /** Time in ms of the last store read that succeeded, here or at a peer. */
  confirmedMs: number;
}

/** True if this node is one of the readers of its data centre. */
export function isReader({nodeId, localNodeIds}: SourceState): boolean {
  const readers = rendezvousTop(
    READER_KEY,
    localNodeIds,
    READERS_PER_DATA_CENTRE,
  );
  return readers.length === 0 || readers.includes(nodeId);
}

/** True if the node has to read the store itself. */
export function mustReadStore(state: SourceState, nowMs: number): boolean {
  return isReader(state) || nowMs - state.confirmedMs > STALE_AFTER_MS;
}
