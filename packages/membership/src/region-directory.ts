/**
 * Summaries of regions. The first gateway of a region creates its summary and
 * sends it to gateways of other regions, where gossip disseminates it to all
 * members. The newest summary wins, so that two concurrent writers and stale
 * copies are harmless.
 */

import type {MemberRecord, RegionSummary} from '@turmericmill/wire';

import type {RegionSummaries} from './membership-types.js';

/** Time in ms between summaries of a region. */
export const SUMMARY_PERIOD_MS = 60_000;

/** Age in ms from which a summary is no longer used to select a region. */
const SUMMARY_LIFETIME_MS = 3 * SUMMARY_PERIOD_MS;

/**
 * Number of groups above which a summary omits the slots, except when the first
 * gateway of the region sends it to other regions.
 */
const MAX_SUMMARY_GROUPS = 64;

export class RegionDirectory {
  private readonly summaries = new Map<string, RegionSummary>();

  get all(): RegionSummaries {
    return this.summaries;
  }

  /** Stores a summary; false unless it is newer than the stored one. */
  merge(summary: RegionSummary): boolean {
    const existing = this.summaries.get(summary.region);
    if (existing && existing.atMs >= summary.atMs) return false;
    this.summaries.set(summary.region, summary);
    return true;
  }

  /** Summaries that are recent enough to select a region. */
  current(nowMs: number): RegionSummary[] {
    return [...this.summaries.values()].filter(
      summary => nowMs < summary.atMs + SUMMARY_LIFETIME_MS,
    );
  }

  /** Timestamp of the stored summary of each region. */
  timestamps(): Record<string, number> {
    const entries = [...this.summaries.values()];
    return Object.fromEntries(entries.map(({region, atMs}) => [region, atMs]));
  }

  /** Trimmed summaries that are newer than `timestamps`. */
  newerThan(timestamps: Record<string, number>): RegionSummary[] {
    return [...this.summaries.values()]
      .filter(({region, atMs}) => atMs > (timestamps[region] ?? -Infinity))
      .map(trimSummary);
  }
}

/** Creates the summary of a region from its members. */
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

/** Removes the slots from a summary with too many groups. */
export function trimSummary(summary: RegionSummary): RegionSummary {
  const groups = Object.keys(summary.slots).length;
  return groups > MAX_SUMMARY_GROUPS ? {...summary, slots: {}} : summary;
}
