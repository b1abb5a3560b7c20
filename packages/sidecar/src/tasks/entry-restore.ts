/**
 * Decides when a node writes its entry again after the store has returned from
 * an older copy. Load pattern: all hosts of a fleet learn of the return at the
 * same moment; the store takes one append after the other, refuses calls beyond
 * its limit, and each call has a price. A departure is needed as soon as its node
 * restarts; an endpoint only by nodes that start.
 */

import type {RandomSource} from '@turmericmill/utils';

/** Time in ms for each host of the fleet over which entries are spread. */
export const ENDPOINT_SPREAD_MS = 20;
/** The same for entries that name departures. */
const DEPARTURE_SPREAD_MS = 5;

export interface EntryToRestore {
  /** Hosts that this node knows, with its own. */
  hostCount: number;
  hasDepartures: boolean;
}

/** Returns the time in ms at which to write an entry that may be lost. */
export function restoreAtMs(
  {hostCount, hasDepartures}: EntryToRestore,
  random: RandomSource,
  nowMs: number,
): number {
  const perHostMs = hasDepartures ? DEPARTURE_SPREAD_MS : ENDPOINT_SPREAD_MS;
  return nowMs + random.next() * hostCount * perHostMs;
}
