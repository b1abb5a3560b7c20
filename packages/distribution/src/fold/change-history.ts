/**
 * When each resource last changed, for certification. Removed resources and
 * the ids of publications are remembered for a bounded number of changes.
 * Forgetting one raises the horizon: a publication whose base lies below it
 * is refused, because nobody can tell any more what changed since.
 */

import type {ResourceKey, ResourceWrite} from '@turmericmill/config';

import {PersistentMap} from '../persistent-map.js';
import {PersistentQueue} from '../persistent-queue.js';

/** Removed resources that are remembered. */
export const MAX_TOMBSTONES = 4096;

/** Ids of publications that are remembered. */
export const MAX_RECENT_IDS = 4096;

/** A removal, with the version that made it. */
export interface Tombstone {
  key: ResourceKey;
  version: number;
}

/** A publication that was decided on, with the offset of its last record. */
export interface RecentId {
  id: string;
  offset: number;
}

/** What certification needs to know of the past. */
export interface ChangeHistory {
  /** Version of the last change, for present and removed resources. */
  changedAt: PersistentMap<ResourceKey, number>;
  tombstones: PersistentQueue<Tombstone>;
  recentIds: PersistentQueue<RecentId>;
  offsetById: PersistentMap<string, number>;
  /** The lowest base that can still be certified. */
  horizon: number;
}

/** A history without changes. */
export function emptyHistory(): ChangeHistory {
  return {
    changedAt: PersistentMap.empty(),
    tombstones: PersistentQueue.empty(),
    recentIds: PersistentQueue.empty(),
    offsetById: PersistentMap.empty(),
    horizon: -1,
  };
}

/** The history after `id` was decided on at `offset`. */
export function rememberId(
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

/** The history after `writes` came into force as `version`. */
export function rememberWrites(
  history: ChangeHistory,
  writes: readonly ResourceWrite[],
  version: number,
): ChangeHistory {
  let {changedAt, tombstones} = history;
  for (const {key, resource} of writes) {
    changedAt = changedAt.set(key, version);
    if (!resource) tombstones = tombstones.push({key, version});
  }
  return boundTombstones({...history, changedAt, tombstones});
}

function boundTombstones(history: ChangeHistory): ChangeHistory {
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
