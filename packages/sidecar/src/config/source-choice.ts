/**
 * Who reads the configuration from the store. One node of each data centre waits
 * at the store and hands what it reads to the others there, so that store calls
 * and bytes between data centres do not grow with the fleet. A node that hears
 * no fresh word reads the store itself.
 */

import {rendezvousTop} from '@turmericmill/utils';

/** Nodes of each data centre that wait at the store; calls are priced. */
export const READERS_PER_DATA_CENTRE = 1;
/** Time in ms between the words of a reader that nothing has changed. */
export const BEACON_INTERVAL_MS = 300;
/**
 * Time in ms without fresh word after which a node reads for itself; with the
 * beacon and one read it stays within the two seconds that a change may take.
 */
export const STALE_AFTER_MS = 1_100;

const READER_KEY = 'config-readers';

/** What one node knows of its data centre and of its sources. */
export interface SourceState {
  nodeId: string;
  /** Nodes of the own data centre, with the own one. */
  neighbours: readonly string[];
  /** Time in ms at which the store or a reader was last heard. */
  heardMs: number;
}

/** True if this node is one of the readers of its data centre. */
export function isReader({nodeId, neighbours}: SourceState): boolean {
  const readers = rendezvousTop(
    READER_KEY,
    neighbours,
    READERS_PER_DATA_CENTRE,
  );
  return readers.length === 0 || readers.includes(nodeId);
}

/** True if the node has to ask the store itself. */
export function readsStore(state: SourceState, nowMs: number): boolean {
  return isReader(state) || nowMs - state.heardMs > STALE_AFTER_MS;
}
