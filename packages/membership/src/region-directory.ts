/**
 * Summaries of regions. The first gateway of a region makes its summary and
 * hands it to gateways elsewhere; there it spreads to all members. The newest
 * counts, so that two writers and late copies do no harm.
 */

import type {MemberRecord, RegionSummary} from '@turmericmill/wire';

import type {RegionSummaries} from './membership-types.js';

/** Time in ms between summaries of a region. */
export const SUMMARY_PERIOD_MS = 60_000;

/** Time in ms from its making until a summary is too old to choose by. */
const SUMMARY_LIFETIME_MS = 3 * SUMMARY_PERIOD_MS;

/** Slots of more groups than this are left out for ordinary members. */
const MAX_SPREAD_GROUPS = 64;

export class RegionDirectory {
  private readonly summaries = new Map<string, RegionSummary>();

  get all(): RegionSummaries {
    return this.summaries;
  }

  /** Takes a summary; false when a newer one is known. */
  merge(summary: RegionSummary): boolean {
    const known = this.summaries.get(summary.region);
    if (known && known.atMs >= summary.atMs) return false;
    this.summaries.set(summary.region, summary);
    return true;
  }

  /** Summaries that are recent enough to choose a region by. */
  current(nowMs: number): RegionSummary[] {
    return [...this.summaries.values()].filter(
      summary => nowMs < summary.atMs + SUMMARY_LIFETIME_MS,
    );
  }

  /** Time of the summary held of each region. */
  times(): Record<string, number> {
    const entries = [...this.summaries.values()];
    return Object.fromEntries(entries.map(({region, atMs}) => [region, atMs]));
  }

  /** Summaries that are newer than those of `times`, made small. */
  newerThan(times: Record<string, number>): RegionSummary[] {
    return [...this.summaries.values()]
      .filter(({region, atMs}) => atMs > (times[region] ?? -Infinity))
      .map(trimSummary);
  }
}

/** Makes the summary of a region from its members. */
export function summarize(
  region: string,
  members: readonly MemberRecord[],
  gatewayIds: readonly string[],
  atMs: number,
): RegionSummary {
  const alive = members.filter(member => member.status === 'alive');
  const slots: Record<string, number> = {};
  for (const server of alive.flatMap(member => member.servers)) {
    if (server.state !== 'ready') continue;
    slots[server.group] = (slots[server.group] ?? 0) + server.slots;
  }
  const gateways = alive
    .filter(member => gatewayIds.includes(member.id))
    .map(member => ({...member, servers: []}));
  return {region, atMs, members: alive.length, slots, gateways};
}

/** A summary without slots when there are too many groups. */
export function trimSummary(summary: RegionSummary): RegionSummary {
  const groups = Object.keys(summary.slots).length;
  return groups > MAX_SPREAD_GROUPS ? {...summary, slots: {}} : summary;
}
