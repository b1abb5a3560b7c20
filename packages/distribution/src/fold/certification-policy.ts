/**
 * Certification policies: each decides which changes since the base of a
 * publication conflict with it. All are deterministic functions of the log.
 */

import {referencesOf} from '@turmericmill/config';
import type {ResourceKey} from '@turmericmill/config';

import type {Publication} from '../publication.js';
import type {ChangeHistory} from './change-history.js';

/** The part of the fold state that a policy depends on. */
export interface CertificationView {
  version: number;
  history: ChangeHistory;
}

/** Finds the resources of a publication that changed since its base. */
export abstract class CertificationPolicy {
  abstract readonly name: string;

  /** The keys in conflict; empty if the publication may be accepted. */
  abstract findConflicts(
    publication: Publication,
    view: CertificationView,
  ): ResourceKey[];
}

/** Any change by any team since the base is a conflict (compare-and-set). */
export class WholeSetPolicy extends CertificationPolicy {
  override readonly name = 'whole-set';

  override findConflicts(
    publication: Publication,
    view: CertificationView,
  ): ResourceKey[] {
    if (view.version <= publication.base) return [];
    return publication.writes.map(write => write.key);
  }
}

/** A change since the base to a resource that is written is a conflict. */
export class WriteSetPolicy extends CertificationPolicy {
  override readonly name: string = 'write-set';

  override findConflicts(
    publication: Publication,
    view: CertificationView,
  ): ResourceKey[] {
    const keys = this.certifiedKeys(publication);
    return [...keys].filter(key => changedSince(view, key, publication.base));
  }

  /** The keys that must not have changed since the base. */
  protected certifiedKeys(publication: Publication): Set<ResourceKey> {
    return new Set(publication.writes.map(write => write.key));
  }
}

/** Like `write-set`, but also covers resources that the writes refer to. */
export class WriteAndReferencePolicy extends WriteSetPolicy {
  override readonly name: string = 'write-and-reference';

  protected override certifiedKeys(publication: Publication): Set<ResourceKey> {
    const keys = super.certifiedKeys(publication);
    for (const {resource} of publication.writes) {
      if (!resource) continue;
      for (const key of referencesOf(resource)) keys.add(key);
    }
    return keys;
  }
}

function changedSince(
  view: CertificationView,
  key: ResourceKey,
  base: number,
): boolean {
  const version = view.history.changedAt.get(key);
  return version !== undefined && version > base;
}
