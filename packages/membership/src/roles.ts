/**
 * Assignment of roles to members by rendezvous hashing. While views differ,
 * several nodes may hold the same role, so every role has to be harmless when
 * held twice and is fenced by the target of its writes (see
 * docs/membership.md).
 */

import {rendezvousTop} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';

/** Number of nodes in each data centre that read configuration from the log. */
export const RELAYS_PER_DATA_CENTRE = 3;

/** Number of nodes in each region that communicate with other regions. */
export const GATEWAYS_PER_REGION = 3;

/** Number of nodes per data centre whose endpoints are in the seed stream. */
export const SEEDS_PER_DATA_CENTRE = 3;

/** The relays of a data centre, in order of preference. */
export function relaysOf(
  members: readonly MemberRecord[],
  dataCentre: string,
): string[] {
  const candidates = aliveIds(members, dataCentre);
  const key = `relay/${dataCentre}`;
  return rendezvousTop(key, candidates, RELAYS_PER_DATA_CENTRE);
}

/** The node that writes a partition's claims; undefined if none is alive. */
export function claimWriterOf(
  members: readonly MemberRecord[],
  partition: number,
): string | undefined {
  return rendezvousTop(`claims/${partition}`, aliveIds(members), 1)[0];
}

/** The node that writes configuration snapshots; undefined if none is alive. */
export function snapshotWriterOf(
  members: readonly MemberRecord[],
): string | undefined {
  return rendezvousTop('snapshots', aliveIds(members), 1)[0];
}

/** The aggregator of a data centre's usage; undefined if none is alive. */
export function usageAggregatorOf(
  members: readonly MemberRecord[],
  dataCentre: string,
): string | undefined {
  const candidates = aliveIds(members, dataCentre);
  return rendezvousTop(`usage/${dataCentre}`, candidates, 1)[0];
}

/** The gateways of a region; the first one creates the region's summary. */
export function gatewaysOf(
  members: readonly MemberRecord[],
  region: string,
): string[] {
  const candidates = aliveIds(members);
  return rendezvousTop(`gateway/${region}`, candidates, GATEWAYS_PER_REGION);
}

/** The nodes of a data centre whose endpoints are kept in the seed stream. */
export function seedsOf(
  members: readonly MemberRecord[],
  dataCentre: string,
): string[] {
  const candidates = aliveIds(members, dataCentre);
  const key = `seed/${dataCentre}`;
  return rendezvousTop(key, candidates, SEEDS_PER_DATA_CENTRE);
}

function aliveIds(
  members: readonly MemberRecord[],
  dataCentre?: string,
): string[] {
  const ids: string[] = [];
  for (const member of members) {
    if (member.status !== 'alive') continue;
    if (dataCentre !== undefined && member.dataCentre !== dataCentre) continue;
    ids.push(member.id);
  }
  return ids;
}
