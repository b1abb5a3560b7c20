/**
 * Creates this region's summary while this node is the first gateway, and
 * disseminates the summaries of all regions.
 */

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

/** Time in ms between checks whether this node is the first gateway. */
const ROLE_CHECK_PERIOD_MS = 2_000;

/**
 * Relative change in the number of members above which a new summary is created
 * before `SUMMARY_PERIOD_MS` has passed.
 */
const URGENT_CHANGE_SHARE = 0.1;

/** Number of members to which a newer summary is forwarded. */
const FAN_OUT = 3;

export class RegionExchange {
  private nextCheckAtMs: number;
  private nextSummaryAtMs: number;
  private lastMemberCount = 0;

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
    const change = Math.abs(members.length - this.lastMemberCount);
    const isUrgent = change > members.length * URGENT_CHANGE_SHARE;
    if (nowMs < this.nextSummaryAtMs && !isUrgent) return [];
    this.nextSummaryAtMs = nowMs + SUMMARY_PERIOD_MS;
    this.lastMemberCount = members.length;
    const {region, id} = this.identity;
    const gateways = gatewaysOf(members, region);
    if (gateways[0] !== id) return [];
    const summary = summarize(region, members, gateways, nowMs);
    this.directory.merge(summary);
    return [
      ...this.sendToOtherRegions(own, random),
      ...this.gossip([trimSummary(summary)], random, members),
    ];
  }

  /** Merges summaries and forwards those that are new to this node. */
  onSummaries(
    summaries: readonly RegionSummary[],
    random: RandomSource,
    endpoints: readonly Endpoint[],
  ): MembershipEffect[] {
    const regions = summaries
      .filter(summary => this.directory.merge(summary))
      .map(trimSummary);
    return regions.length > 0 ? this.gossip(regions, random, endpoints) : [];
  }

  private gossip(
    regions: RegionSummary[],
    random: RandomSource,
    endpoints: readonly Endpoint[],
  ): MembershipEffect[] {
    const body = {from: this.identity.id, updates: [], regions};
    const message = {type: 'memberGossip', body} as const;
    return random.sample(endpoints, FAN_OUT).map(({address, port}) => ({
      type: 'send-datagram',
      to: {address, port},
      message,
    }));
  }

  private sendToOtherRegions(
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
