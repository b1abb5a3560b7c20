/** Checks the keys of requests against the configuration in force. */

import type {PrefixRoute, Tenant} from '@turmericmill/config';
import type {Bus, CallHead} from '@turmericmill/node';
import {
  admitTenant,
  combinedRank,
  TenantKeys,
  type TenantVerdict,
} from '@turmericmill/routing';
import type {FlatHeaders} from '@turmericmill/wire';

import {takeCredentials, withoutCredentials} from './caller-credentials.js';

/** The terms on which a request may run. */
export interface CheckedKey {
  /** Name of the tenant; undefined without a known key. */
  tenant: string | undefined;
  /** Version of the configuration that the key was last checked against. */
  tenantVersion: number;
  /** Rank by tenant and route; 0 is the most urgent. */
  rank: number;
}

/** A request whose key has been checked. */
export interface CheckedRequest extends CheckedKey {
  /** The key's digest; undefined if the configuration had no tenants. */
  key: {digest: string | undefined} | undefined;
  /** Headers to forward. */
  headers: FlatHeaders;
}

/** Why a request may not run now. */
export type KeyRefusal = 'unknown-key' | 'stale-config';

export type KeyCheck<T> =
  {kind: 'passed'; request: T} | {kind: 'refused'; reason: KeyRefusal};

interface Tenants {
  version: number;
  keys: TenantKeys;
  publicRoutes: ReadonlySet<string>;
}

export class TenantDirectory {
  /** Undefined if the configuration in force has no tenants. */
  private inForce: Tenants | undefined;

  /** `isFresh` is false while the configuration is too old to confirm a key. */
  constructor(
    bus: Bus,
    private readonly isFresh: () => boolean,
  ) {
    bus.subscribe('mesh-config', ({config: {version, tenants, routes}}) => {
      const names = routes.filter(({isPublic}) => isPublic);
      this.inForce = tenants && {
        version,
        keys: this.updatedKeys(tenants),
        publicRoutes: new Set(names.map(({name}) => name)),
      };
    });
  }

  private updatedKeys(tenants: readonly Tenant[]): TenantKeys {
    const {keys} = this.inForce ?? {};
    if (!keys) return new TenantKeys(tenants);
    keys.update(tenants);
    return keys;
  }

  /** Checks an arriving request; hashes its key once. */
  check(rawHeaders: FlatHeaders, route: PrefixRoute): KeyCheck<CheckedRequest> {
    const {inForce} = this;
    if (!inForce) {
      const none = {key: undefined, tenant: undefined, tenantVersion: 0};
      const request = {...none, rank: route.rank, headers: rawHeaders};
      return {kind: 'passed', request};
    }
    const {digest, headers} = takeCredentials(rawHeaders);
    const check = this.checkKey(inForce, digest, route);
    if (check.kind === 'refused') return check;
    const request = {...check.request, key: {digest}, headers};
    return {kind: 'passed', request};
  }

  /**
   * Checks a request again that has waited or is sent once more. Returns the
   * terms that hold now; undefined if they are still those of its arrival.
   */
  recheck({
    key,
    route,
  }: Pick<CheckedRequest, 'key'> & {route: PrefixRoute}):
    KeyCheck<CheckedKey> | undefined {
    const {inForce} = this;
    return inForce && key && this.checkKey(inForce, key.digest, route);
  }

  /**
   * Returns the call as the server of this node may get it now; undefined if it
   * may not run. The node at which it entered may have a configuration that is
   * older, or have sent the call long ago. A call with a tenant that only a
   * later configuration has is accepted.
   */
  admitCall(head: CallHead): CallHead | undefined {
    const {inForce} = this;
    if (!inForce) return head;
    const {tenant, tenantVersion = 0, class: route, headers} = head;
    // A node with a configuration without tenants forwards all headers.
    const admitted = {...head, headers: withoutCredentials(headers)};
    if (tenant === undefined) return admitted;
    const {version, keys, publicRoutes} = inForce;
    const isKnown = keys.hasTenant(tenant) || tenantVersion > version;
    if (this.isFresh() && isKnown) return admitted;
    if (!publicRoutes.has(route)) return undefined;
    delete admitted.tenant;
    return admitted;
  }

  private checkKey(
    {keys, version}: Tenants,
    digest: string | undefined,
    {isPublic = false, rank}: PrefixRoute,
  ): KeyCheck<CheckedKey> {
    const isFresh = this.isFresh();
    const verdict = admitTenant(keys, {digest, isPublic, isFresh});
    const reason = refusalOf(verdict);
    if (reason) return {kind: 'refused', reason};
    const tenant = verdict.kind === 'tenant' ? verdict.tenant : undefined;
    const request = {
      tenant: tenant?.name,
      tenantVersion: version,
      rank: combinedRank(keys, tenant, rank),
    };
    return {kind: 'passed', request};
  }
}

function refusalOf({kind}: TenantVerdict): KeyRefusal | undefined {
  if (kind === 'unknown-key') return kind;
  return kind === 'stale' ? 'stale-config' : undefined;
}
