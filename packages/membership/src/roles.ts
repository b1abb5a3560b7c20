/**
 * Roles that follow from the membership by rendezvous hashing. Nodes whose views
 * differ for a moment may each believe they hold a role: every role has to be
 * harmless when held twice, and is fenced by what it writes to (see
 * docs/membership.md).
 */

import {rendezvousTop} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';

/** Nodes of each data centre that read the log's configuration. */
export const RELAYS_PER_DATA_CENTRE = 3;

/** Nodes of a region that speak with other regions. */
export const GATEWAYS_PER_REGION = 3;

/** Nodes of each data centre that keep their endpoint in the seed stream. */
export const SEEDS_PER_DATA_CENTRE = 3;

/** Relays of a data centre, the first choice first. */
export function relaysOf(
  members: readonly MemberRecord[],
  dataCentre: string,
): string[] {
  const candidates = aliveIds(members, dataCentre);
  const key = `relay/${dataCentre}`;
  return rendezvousTop(key, candidates, RELAYS_PER_DATA_CENTRE);
}

/** The node that writes claims of `partition`, or undefined. */
export function claimWriterOf(
  members: readonly MemberRecord[],
  partition: number,
): string | undefined {
  return rendezvousTop(`claims/${partition}`, aliveIds(members), 1)[0];
}

/** The node that writes configuration snapshots, or undefined. */
export function snapshotWriterOf(
  members: readonly MemberRecord[],
): string | undefined {
  return rendezvousTop('snapshots', aliveIds(members), 1)[0];
}

/** The node that gathers the usage of a data centre, or undefined. */
export function usageAggregatorOf(
  members: readonly MemberRecord[],
  dataCentre: string,
): string | undefined {
  const candidates = aliveIds(members, dataCentre);
  return rendezvousTop(`usage/${dataCentre}`, candidates, 1)[0];
}

/** The gateways of a region; the first makes its summary. */
export function gatewaysOf(
  members: readonly MemberRecord[],
  region: string,
): string[] {
  const candidates = aliveIds(members);
  return rendezvousTop(`gateway/${region}`, candidates, GATEWAYS_PER_REGION);
}

/** Nodes of a data centre that keep their endpoint in the seed stream. */
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
