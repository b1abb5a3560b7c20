/** The keys of the tenants in force, indexed by digest. */

import type {Tenant} from '@turmericmill/config';

/**
 * A look-up costs two map accesses. An update compares the lists of digests, and
 * changes the index only where they differ.
 */
export class TenantKeys {
  private readonly nameByDigest = new Map<string, string>();
  private byName: ReadonlyMap<string, Tenant> = new Map();
  private smallest = 0;

  constructor(tenants: readonly Tenant[]) {
    this.update(tenants);
  }

  /** Replaces all tenants. */
  update(tenants: readonly Tenant[]): void {
    const before = this.byName;
    this.byName = new Map(tenants.map(tenant => [tenant.name, tenant]));
    // Removed first, as a key may go from one tenant to another.
    for (const {name, keyDigests} of before.values()) {
      const after = this.byName.get(name)?.keyDigests ?? [];
      this.remove(changedPart(keyDigests, after), after);
    }
    for (const {name, keyDigests} of tenants) {
      const known = before.get(name)?.keyDigests ?? [];
      for (const digest of changedPart(keyDigests, known)) {
        this.nameByDigest.set(digest, name);
      }
    }
    const smallest = tenants.reduce(
      (least, {priority}) => Math.min(least, priority),
      Infinity,
    );
    this.smallest = tenants.length > 0 ? smallest : 0;
  }

  /** Smallest priority of a tenant; 0 without tenants. */
  get smallestPriority(): number {
    return this.smallest;
  }

  /** Returns the tenant whose key has the digest. */
  find(digest: string): Tenant | undefined {
    const name = this.nameByDigest.get(digest);
    return name === undefined ? undefined : this.byName.get(name);
  }

  hasTenant(name: string): boolean {
    return this.byName.has(name);
  }

  /** Removes digests that a tenant had, unless it still has them elsewhere. */
  private remove(digests: readonly string[], kept: readonly string[]): void {
    if (digests.length === 0) return;
    const removed = new Set(digests);
    for (const digest of kept) removed.delete(digest);
    for (const digest of removed) this.nameByDigest.delete(digest);
  }
}

/** Returns `list` without the start and the end that `other` has as well. */
function changedPart(
  list: readonly string[],
  other: readonly string[],
): readonly string[] {
  const shorter = Math.min(list.length, other.length);
  let start = 0;
  while (start < shorter && list[start] === other[start]) start++;
  let end = 0;
  while (end < shorter - start && list.at(-1 - end) === other.at(-1 - end)) {
    end++;
  }
  return list.slice(start, list.length - end);
}
