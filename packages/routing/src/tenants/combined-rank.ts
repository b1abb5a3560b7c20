/** Ranks of calls by the priority of the tenant, then by that of the route. */

import type {Tenant} from '@turmericmill/config';

import type {TenantKeys} from './tenant-keys.js';

/** Distance between priorities of tenants; ranks of routes are smaller. */
const RANKS_PER_PRIORITY = 1000;

/**
 * Returns the rank of a call; smaller is more urgent. A call without a tenant is
 * as urgent as those of the most urgent tenant: it usually comes from a server
 * that holds a slot until the call is answered.
 */
export function combinedRank(
  keys: TenantKeys,
  tenant: Tenant | undefined,
  routeRank: number,
): number {
  const priority = tenant?.priority ?? keys.smallestPriority;
  return priority * RANKS_PER_PRIORITY + routeRank;
}
