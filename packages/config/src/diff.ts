/** Computes and applies the writes between two sets of resources. */

import {sameResource} from './digest.js';
import type {
  Resource,
  ResourceKey,
  ResourceMap,
  ResourceWrite,
} from './resource.js';

/**
 * Returns the writes that turn the resources of `team` in `base` into
 * `desired`, ordered by key. Resources of other teams are unaffected.
 */
export function diffResources(
  base: ResourceMap,
  team: string,
  desired: readonly Resource[],
): ResourceWrite[] {
  const desiredByKey = new Map(
    desired.map(resource => [resource.key, resource]),
  );
  const writes: ResourceWrite[] = [];
  for (const [key, resource] of desiredByKey) {
    const current = base.get(key);
    if (!current || !sameResource(current, resource)) {
      writes.push({key, resource});
    }
  }
  for (const [key, resource] of base) {
    if (resource.team === team && !desiredByKey.has(key)) {
      writes.push({key, resource: null});
    }
  }
  return writes.sort((a, b) => (a.key < b.key ? -1 : 1));
}

/** Returns a copy of `base` with `writes` applied. */
export function applyWrites(
  base: ResourceMap,
  writes: readonly ResourceWrite[],
): Map<ResourceKey, Resource> {
  const result = new Map(base);
  for (const {key, resource} of writes) {
    if (resource) result.set(key, resource);
    else result.delete(key);
  }
  return result;
}
