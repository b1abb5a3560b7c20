/** Versions of the configuration, and how deltas and snapshots build them. */

import {digestAfter, digestOf, EMPTY_DIGEST} from '@turmericmill/config';
import type {Resource, ResourceKey, ResourceWrite} from '@turmericmill/config';
import {Err, Ok, type Result} from '@turmericmill/utils';
import type {ConfigDelta} from '@turmericmill/wire';

import {NO_VERSION} from '../fold/config-state.js';
import {applyWrites} from '../fold/fold-record.js';
import {PersistentMap} from '../persistent-map.js';

/** A complete set of resources whose digest was verified. Immutable. */
export interface ConfigVersion {
  version: number;
  /** Digest of `resources`. */
  digest: string;
  resources: PersistentMap<ResourceKey, Resource>;
}

/** Why a delta cannot be applied, or a snapshot cannot be used. */
export type ApplyError =
  /** The delta leads to a version that is not above the current one. */
  | 'stale'
  /** The delta starts from a version above the current one. */
  | 'gap'
  /** The resulting resources do not have the digest that the sender gave. */
  | 'digest-mismatch';

/** The state before the first version. */
export function emptyVersion(): ConfigVersion {
  return {
    version: NO_VERSION,
    digest: EMPTY_DIGEST,
    resources: PersistentMap.empty(),
  };
}

/** Applies `delta` to `current` and returns the resulting version. */
export function applyDelta(
  current: ConfigVersion,
  delta: ConfigDelta,
): Result<ConfigVersion, ApplyError> {
  const {from, to, digest, writes} = delta;
  if (to <= current.version) return Err('stale');
  if (from > current.version) return Err('gap');
  const actual = digestAfter(current.digest, current.resources, writes);
  if (actual !== digest) return Err('digest-mismatch');
  const resources = applyWrites(current.resources, writes);
  return Ok({version: to, digest, resources});
}

/** Builds a version from the writes of a complete snapshot. */
export function versionFromSnapshot(
  version: number,
  digest: string,
  writes: readonly ResourceWrite[],
): Result<ConfigVersion, ApplyError> {
  const entries = writes.flatMap(({key, resource}) =>
    resource ? [[key, resource] as const] : [],
  );
  const resources = PersistentMap.from(entries);
  if (digestOf(resources) !== digest) return Err('digest-mismatch');
  return Ok({version, digest, resources});
}
