/**
 * Index of a set of resources, updated with every change of the set. It allows
 * checking a change against the whole set in time that depends only on the
 * change.
 */

import {matchBucket, referencesOf, shadows} from '@turmericmill/config';
import type {
  Resource,
  ResourceKey,
  ResourceMap,
  ResourceOf,
  ResourceWrite,
} from '@turmericmill/config';

import {PersistentMap} from '../persistent-map.js';

type Route = ResourceOf<'route'>;

/** The index of a set of resources. */
export interface ResourceIndex {
  /** Number of references to each key; keys without any are absent. */
  referenceCounts: PersistentMap<ResourceKey, number>;
  /** Routes by `matchBucket`: routes of different buckets never shadow. */
  routes: PersistentMap<string, readonly Route[]>;
}

/** The reason why a set of resources is not valid as a whole. */
export interface SetError {
  reason: 'dangling-reference' | 'shadowed-route';
  keys: ResourceKey[];
}

export function emptyIndex(): ResourceIndex {
  return {
    referenceCounts: PersistentMap.empty(),
    routes: PersistentMap.empty(),
  };
}

/** Builds the index of a whole set. */
export function buildIndex(resources: Iterable<Resource>): ResourceIndex {
  let index = emptyIndex();
  for (const resource of resources) index = addResource(index, resource);
  return index;
}

/** Returns the index after `writes`; `before` is the set without them. */
export function updateIndex(
  index: ResourceIndex,
  before: ResourceMap,
  writes: readonly ResourceWrite[],
): ResourceIndex {
  let result = index;
  for (const {key, resource} of writes) {
    const previous = before.get(key);
    if (previous) result = removeResource(result, previous);
    if (resource) result = addResource(result, resource);
  }
  return result;
}

/**
 * Checks a set that results from applying `writes` to a valid set. `index` and
 * `after` are those of the resulting set.
 */
export function checkWrites(
  index: ResourceIndex,
  after: ResourceMap,
  writes: readonly ResourceWrite[],
): SetError | undefined {
  const dangling = writes.filter(write => isDangling(index, after, write));
  if (dangling.length > 0) {
    const keys = dangling.map(write => write.key);
    return {reason: 'dangling-reference', keys};
  }
  const shadowed = writes.filter(write => isShadowing(index, write));
  if (shadowed.length === 0) return undefined;
  return {reason: 'shadowed-route', keys: shadowed.map(write => write.key)};
}

function isDangling(
  index: ResourceIndex,
  after: ResourceMap,
  {key, resource}: ResourceWrite,
): boolean {
  if (!resource) return (index.referenceCounts.get(key) ?? 0) > 0;
  return referencesOf(resource).some(reference => !after.has(reference));
}

function isShadowing(index: ResourceIndex, {resource}: ResourceWrite): boolean {
  if (resource?.kind !== 'route') return false;
  const routes = index.routes.get(matchBucket(resource.spec.match)) ?? [];
  return routes.some(
    route => shadows(route, resource) || shadows(resource, route),
  );
}

function addResource(index: ResourceIndex, resource: Resource): ResourceIndex {
  let {referenceCounts, routes} = index;
  for (const key of referencesOf(resource)) {
    referenceCounts = referenceCounts.set(
      key,
      (referenceCounts.get(key) ?? 0) + 1,
    );
  }
  if (resource.kind === 'route') {
    const bucket = matchBucket(resource.spec.match);
    routes = routes.set(bucket, [...(routes.get(bucket) ?? []), resource]);
  }
  return {referenceCounts, routes};
}

function removeResource(
  index: ResourceIndex,
  resource: Resource,
): ResourceIndex {
  let {referenceCounts, routes} = index;
  for (const key of referencesOf(resource)) {
    const count = (referenceCounts.get(key) ?? 0) - 1;
    referenceCounts =
      count > 0 ? referenceCounts.set(key, count) : referenceCounts.delete(key);
  }
  if (resource.kind === 'route') {
    const bucket = matchBucket(resource.spec.match);
    const rest = (routes.get(bucket) ?? []).filter(
      route => route.key !== resource.key,
    );
    routes = rest.length > 0 ? routes.set(bucket, rest) : routes.delete(bucket);
  }
  return {referenceCounts, routes};
}
