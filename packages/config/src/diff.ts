/** The writes that lead from one set of resources to another. */

import {sameResource} from './digest.js';
import type {
  Resource,
  ResourceKey,
  ResourceMap,
  ResourceWrite,
} from './resource.js';

/**
 * The writes that turn `team`'s part of `base` into `desired`, ordered by key.
 * Resources of other teams are left alone.
 */
export function diffResources(
  base: ResourceMap,
  team: string,
  desired: readonly Resource[],
): ResourceWrite[] {
  const wanted = new Map(desired.map(resource => [resource.key, resource]));
  const writes: ResourceWrite[] = [];
  for (const [key, resource] of wanted) {
    const present = base.get(key);
    if (!present || !sameResource(present, resource)) {
      writes.push({key, resource});
    }
  }
  for (const [key, resource] of base) {
    if (resource.team === team && !wanted.has(key)) {
      writes.push({key, resource: null});
    }
  }
  return writes.sort((a, b) => (a.key < b.key ? -1 : 1));
}

/** A copy of `base` after `writes`. */
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
