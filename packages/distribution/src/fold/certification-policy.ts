/**
 * Policies of certification: which changes since its base a publication
 * conflicts with. All are deterministic functions of the log.
 */

import {referencesOf} from '@turmericmill/config';
import type {ResourceKey} from '@turmericmill/config';

import type {Publication} from '../publication.js';
import type {ChangeHistory} from './change-history.js';

/** What a policy sees of the state of the fold. */
export interface CertificationView {
  version: number;
  history: ChangeHistory;
}

/** Decides which of a publication's resources changed since its base. */
export abstract class CertificationPolicy {
  abstract readonly name: string;

  /** The keys in conflict; empty when the publication may be accepted. */
  abstract findConflicts(
    publication: Publication,
    view: CertificationView,
  ): ResourceKey[];
}

/** Any change of any team since the base is a conflict (compare-and-set). */
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

/** A change of a resource that the publication writes is a conflict. */
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

/** As `write-set`, and also for resources that the written ones refer to. */
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
  const changedAt = view.history.changedAt.get(key);
  return changedAt !== undefined && changedAt > base;
}
