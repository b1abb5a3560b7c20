/**
 * The version at which each resource last changed, for certification. Only a
 * bounded number of tombstones and publication ids is kept. Evicting one can
 * raise the horizon. A publication whose base is below the horizon is rejected,
 * because the changes since its base are no longer known.
 */

import type {ResourceKey, ResourceWrite} from '@turmericmill/config';

import {PersistentMap} from '../persistent-map.js';
import {PersistentQueue} from '../persistent-queue.js';

/** Maximum number of tombstones kept. */
export const MAX_TOMBSTONES = 4096;

/** Maximum number of publication ids kept. */
export const MAX_RECENT_IDS = 4096;

/** A removed resource, with the version that removed it. */
export interface Tombstone {
  key: ResourceKey;
  version: number;
}

/** The id of a decided publication, with the offset of the deciding record. */
export interface RecentId {
  id: string;
  offset: number;
}

/** The past changes that certification depends on. */
export interface ChangeHistory {
  /** Version of the last change of each present or removed resource. */
  changedAt: PersistentMap<ResourceKey, number>;
  tombstones: PersistentQueue<Tombstone>;
  recentIds: PersistentQueue<RecentId>;
  offsetById: PersistentMap<string, number>;
  /** The lowest base that can still be certified. */
  horizon: number;
}

export function emptyHistory(): ChangeHistory {
  return {
    changedAt: PersistentMap.empty(),
    tombstones: PersistentQueue.empty(),
    recentIds: PersistentQueue.empty(),
    offsetById: PersistentMap.empty(),
    horizon: -1,
  };
}

/** Returns the history after publication `id` was decided at `offset`. */
export function addDecision(
  history: ChangeHistory,
  id: string,
  offset: number,
): ChangeHistory {
  let {horizon} = history;
  let recentIds = history.recentIds.push({id, offset});
  let offsetById = history.offsetById.set(id, offset);
  while (recentIds.size > MAX_RECENT_IDS) {
    const oldest = recentIds.peek() as RecentId;
    recentIds = recentIds.shift();
    offsetById = offsetById.delete(oldest.id);
    horizon = Math.max(horizon, oldest.offset);
  }
  return {...history, recentIds, offsetById, horizon};
}

/** Returns the history after `writes` came into force as `version`. */
export function addWrites(
  history: ChangeHistory,
  writes: readonly ResourceWrite[],
  version: number,
): ChangeHistory {
  let {changedAt, tombstones} = history;
  for (const {key, resource} of writes) {
    changedAt = changedAt.set(key, version);
    if (!resource) tombstones = tombstones.push({key, version});
  }
  return evictTombstones({...history, changedAt, tombstones});
}

function evictTombstones(history: ChangeHistory): ChangeHistory {
  let {changedAt, tombstones, horizon} = history;
  while (tombstones.size > MAX_TOMBSTONES) {
    const oldest = tombstones.peek() as Tombstone;
    tombstones = tombstones.shift();
    if (changedAt.get(oldest.key) !== oldest.version) continue;
    changedAt = changedAt.delete(oldest.key);
    horizon = Math.max(horizon, oldest.version);
  }
  return {...history, changedAt, tombstones, horizon};
}
