/**
 * Index of a set of resources, kept along with it, so that a change is checked
 * against the whole set in time that depends on the change alone.
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
  /** Number of references to each key that has some. */
  referrers: PersistentMap<ResourceKey, number>;
  /** Routes that might hide each other, by the text of `matchBucket`. */
  routes: PersistentMap<string, readonly Route[]>;
}

/** Why a set would not be valid as a whole. */
export interface SetError {
  reason: 'dangling-reference' | 'shadowed-route';
  keys: ResourceKey[];
}

/** The index of the empty set. */
export function emptyIndex(): ResourceIndex {
  return {referrers: PersistentMap.empty(), routes: PersistentMap.empty()};
}

/** The index of a whole set. */
export function indexOf(resources: Iterable<Resource>): ResourceIndex {
  let index = emptyIndex();
  for (const resource of resources) index = addResource(index, resource);
  return index;
}

/** The index after `writes`, given the set before them. */
export function indexAfter(
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

/** Checks what `writes` made of a valid set; `after` is the set they made. */
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
  if (!resource) return (index.referrers.get(key) ?? 0) > 0;
  return referencesOf(resource).some(reference => !after.has(reference));
}

function isShadowing(index: ResourceIndex, {resource}: ResourceWrite): boolean {
  if (resource?.kind !== 'route') return false;
  const rivals = index.routes.get(matchBucket(resource.spec.match)) ?? [];
  return rivals.some(
    rival => shadows(rival, resource) || shadows(resource, rival),
  );
}

function addResource(index: ResourceIndex, resource: Resource): ResourceIndex {
  let {referrers, routes} = index;
  for (const key of referencesOf(resource)) {
    referrers = referrers.set(key, (referrers.get(key) ?? 0) + 1);
  }
  if (resource.kind === 'route') {
    const bucket = matchBucket(resource.spec.match);
    routes = routes.set(bucket, [...(routes.get(bucket) ?? []), resource]);
  }
  return {referrers, routes};
}

function removeResource(
  index: ResourceIndex,
  resource: Resource,
): ResourceIndex {
  let {referrers, routes} = index;
  for (const key of referencesOf(resource)) {
    const count = (referrers.get(key) ?? 0) - 1;
    referrers = count > 0 ? referrers.set(key, count) : referrers.delete(key);
  }
  if (resource.kind === 'route') {
    const bucket = matchBucket(resource.spec.match);
    const rest = (routes.get(bucket) ?? []).filter(
      route => route.key !== resource.key,
    );
    routes = rest.length > 0 ? routes.set(bucket, rest) : routes.delete(bucket);
  }
  return {referrers, routes};
}
