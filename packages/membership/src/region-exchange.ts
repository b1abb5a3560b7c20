/** Makes this region's summary when it falls to this node; spreads others'. */

import type {RandomSource} from '@turmericmill/utils';
import {
  packMember,
  type MemberRecord,
  type RegionSummary,
} from '@turmericmill/wire';

import type {MembershipView} from './membership-view.js';
import type {
  Endpoint,
  MembershipEffect,
  NodeIdentity,
} from './membership-types.js';
import {
  summarize,
  SUMMARY_PERIOD_MS,
  trimSummary,
  type RegionDirectory,
} from './region-directory.js';
import {gatewaysOf} from './roles.js';

/** Time in ms between checks whether the role is this node's. */
const ROLE_CHECK_PERIOD_MS = 2_000;

/** Share of members whose change calls for a new summary at once. */
const URGENT_CHANGE = 0.1;

/** Members to whom a newer summary is passed on. */
const FAN_OUT = 3;

export class RegionExchange {
  private nextCheckAtMs: number;
  private nextSummaryAtMs: number;
  private lastMembers = 0;

  constructor(
    private readonly identity: NodeIdentity,
    private readonly view: MembershipView,
    private readonly directory: RegionDirectory,
    nowMs: number,
    random: RandomSource,
  ) {
    this.nextCheckAtMs = nowMs + random.next() * ROLE_CHECK_PERIOD_MS;
    this.nextSummaryAtMs = nowMs;
  }

  tick(
    nowMs: number,
    random: RandomSource,
    own: MemberRecord,
  ): MembershipEffect[] {
    if (nowMs < this.nextCheckAtMs) return [];
    this.nextCheckAtMs = nowMs + ROLE_CHECK_PERIOD_MS;
    const members = this.view.aliveMembers();
    const change = Math.abs(members.length - this.lastMembers);
    const urgent = change > members.length * URGENT_CHANGE;
    if (nowMs < this.nextSummaryAtMs && !urgent) return [];
    this.nextSummaryAtMs = nowMs + SUMMARY_PERIOD_MS;
    this.lastMembers = members.length;
    const {region, id} = this.identity;
    const gateways = gatewaysOf(members, region);
    if (gateways[0] !== id) return [];
    const summary = summarize(region, members, gateways, nowMs);
    this.directory.merge(summary);
    return [
      ...this.sendToOthers(own, random),
      ...this.spread([trimSummary(summary)], random, members),
    ];
  }

  /** Merges summaries and passes on those that are new here. */
  onSummaries(
    summaries: readonly RegionSummary[],
    random: RandomSource,
    neighbours: readonly Endpoint[],
  ): MembershipEffect[] {
    const regions = summaries
      .filter(summary => this.directory.merge(summary))
      .map(trimSummary);
    return regions.length > 0 ? this.spread(regions, random, neighbours) : [];
  }

  private spread(
    regions: RegionSummary[],
    random: RandomSource,
    neighbours: readonly Endpoint[],
  ): MembershipEffect[] {
    const body = {from: this.identity.id, updates: [], regions};
    const message = {type: 'memberGossip', body} as const;
    return random.sample(neighbours, FAN_OUT).map(({address, port}) => ({
      type: 'send-datagram',
      to: {address, port},
      message,
    }));
  }

  private sendToOthers(
    own: MemberRecord,
    random: RandomSource,
  ): MembershipEffect[] {
    const regions = [...this.directory.all.values()];
    const body = {
      sender: packMember(own),
      reply: true,
      buckets: new Uint8Array(),
      members: [],
      regions: regions.filter(({region}) => region === own.region),
    };
    const message = {type: 'memberSync', body} as const;
    return regions
      .filter(({region}) => region !== own.region)
      .flatMap(({gateways}) => random.sample(gateways, 1))
      .map(({address, port}) => ({
        type: 'send-sync',
        to: {address, port},
        message,
      }));
  }
}
