/** The version that a replica enforces, and how it goes up. */

import {digestAfter, digestOf, EMPTY_DIGEST} from '@turmericmill/config';
import type {Resource, ResourceKey, ResourceWrite} from '@turmericmill/config';
import {Err, Ok, type Result} from '@turmericmill/utils';
import type {ConfigDelta} from '@turmericmill/wire';

import {NO_VERSION} from '../fold/config-state.js';
import {applyWrites} from '../fold/fold-record.js';
import {PersistentMap} from '../persistent-map.js';

/** A whole, checked set of resources. Immutable. */
export interface ConfigVersion {
  version: number;
  /** Digest of `resources`. */
  digest: string;
  resources: PersistentMap<ResourceKey, Resource>;
}

/** Why a change cannot be made to the version in force. */
export type ApplyError =
  /** Its version is not above the one in force. */
  | 'stale'
  /** It starts above the version in force. */
  | 'gap'
  /** The result is not the set that the sender meant. */
  | 'digest-mismatch';

/** Before any version is in force. */
export function noVersion(): ConfigVersion {
  return {
    version: NO_VERSION,
    digest: EMPTY_DIGEST,
    resources: PersistentMap.empty(),
  };
}

/** The version that `delta` makes of `current`. */
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

/** The version that a whole set makes. */
export function wholeVersion(
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
