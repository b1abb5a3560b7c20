/** The state that results from folding the configuration stream. */

import {EMPTY_DIGEST} from '@turmericmill/config';
import type {Resource, ResourceKey} from '@turmericmill/config';

import {PersistentMap} from '../persistent-map.js';
import {emptyHistory} from './change-history.js';
import type {ChangeHistory} from './change-history.js';
import type {PendingParts} from './pending-parts.js';
import {emptyIndex} from './resource-index.js';
import type {ResourceIndex} from './resource-index.js';

/** The version before any publication was accepted. */
export const NO_VERSION = -1;

/** A function of the log records before `nextOffset`. Immutable. */
export interface ConfigState {
  /** Offset of the last record of the last accepted publication. */
  version: number;
  resources: PersistentMap<ResourceKey, Resource>;
  /** Digest of `resources`. */
  digest: string;
  /** Offset of the next record to fold. */
  nextOffset: number;
  history: ChangeHistory;
  index: ResourceIndex;
  pending: PendingParts;
}

/** Returns the state before the first record. */
export function emptyConfigState(): ConfigState {
  return {
    version: NO_VERSION,
    resources: PersistentMap.empty(),
    digest: EMPTY_DIGEST,
    nextOffset: 0,
    history: emptyHistory(),
    index: emptyIndex(),
    pending: [],
  };
}
