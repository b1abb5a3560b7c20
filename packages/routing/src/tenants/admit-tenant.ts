/**
 * Decides whether a request may run by its key. Load pattern: a key is removed
 * while some nodes hear nothing of it; these must not go on accepting the key,
 * nor refuse as unknown a key that was added meanwhile.
 */

import type {Tenant} from '@turmericmill/config';

import type {TenantKeys} from './tenant-keys.js';

/**
 * `tenant`: the key is that of a tenant. `public`: the request needs no key and
 * has no known one. `unknown-key`: it needs a key and has no known one.
 * `stale`: it needs a key, and the configuration is too old to tell.
 */
export type TenantVerdict =
  {kind: 'tenant'; tenant: Tenant} | {kind: 'public' | 'unknown-key' | 'stale'};

/** What the verdict on a request depends on. */
export interface TenantDemand {
  /** Digest of the request's key; undefined without one. */
  digest: string | undefined;
  /** True if the route of the request is public. */
  isPublic: boolean;
  /** True if the configuration was confirmed lately enough. */
  isFresh: boolean;
}

/**
 * A stale configuration confirms no key. On a public route, the request then
 * runs without a tenant.
 */
export function admitTenant(
  keys: TenantKeys,
  {digest, isPublic, isFresh}: TenantDemand,
): TenantVerdict {
  if (!isFresh) return {kind: isPublic ? 'public' : 'stale'};
  const tenant = digest === undefined ? undefined : keys.find(digest);
  if (tenant) return {kind: 'tenant', tenant};
  return {kind: isPublic ? 'public' : 'unknown-key'};
}
