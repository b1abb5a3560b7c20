/**
 * Repairs what probes and gossip missed: now and then a node sends checksums of
 * its view to a random member, which answers with the buckets that differ. The
 * same exchange brings a joining node its first view.
 */

import type {RandomSource} from '@turmericmill/utils';
import {
  packMember,
  unpackMember,
  type MemberDigest,
  type MemberRecord,
  type MemberSync,
  type PackedMember,
} from '@turmericmill/wire';

import {differingBuckets, digestOf, recordsIn} from './member-digest.js';
import type {MemberUpdates} from './member-updates.js';
import type {
  Endpoint,
  MembershipCounters,
  MembershipEffect,
} from './membership-types.js';
import type {RegionDirectory} from './region-directory.js';
import {TokenBucket} from './token-bucket.js';

/** Time in ms between comparisons with a random member. */
const COMPARE_PERIOD_MS = 10_000;

/** Time in ms between comparisons until the first view has come. */
const JOINING_PERIOD_MS = 1_000;

/** Views handed out in a second, and at once. A view may be 300 KB. */
const SYNCS_PER_SECOND = 4;
const SYNC_BURST = 4;

/** Members named to a node that can't be served now: it asks them instead. */
const REFERRAL_COUNT = 8;

export class AntiEntropy {
  private nextCompareAtMs: number;
  private readonly bucket: TokenBucket;
  private joining = true;

  constructor(
    private readonly updates: MemberUpdates,
    private readonly regions: RegionDirectory,
    private readonly counters: MembershipCounters,
    nowMs: number,
    random: RandomSource,
  ) {
    this.nextCompareAtMs = nowMs + random.next() * JOINING_PERIOD_MS;
    this.bucket = new TokenBucket(SYNCS_PER_SECOND, SYNC_BURST, nowMs);
  }

  /** True once a peer has handed over its view. */
  get hasJoined(): boolean {
    return !this.joining;
  }

  tick(nowMs: number, random: RandomSource): MembershipEffect[] {
    if (nowMs < this.nextCompareAtMs) return [];
    const periodMs = this.joining ? JOINING_PERIOD_MS : COMPARE_PERIOD_MS;
    this.nextCompareAtMs = nowMs + (0.5 + random.next()) * periodMs;
    const peer = random.pick(this.updates.otherEndpoints());
    return peer ? [this.digestTo(peer)] : [];
  }

  /** Sends the checksums of this node's view. */
  digestTo(to: Endpoint): MembershipEffect {
    const body: MemberDigest = {
      sender: packMember(this.updates.ownRecord),
      buckets: this.ownBuckets(),
      regions: this.regions.times(),
    };
    const {address, port} = to;
    const message = {type: 'memberDigest', body} as const;
    return {type: 'send-datagram', to: {address, port}, message};
  }

  onDigest(
    digest: MemberDigest,
    nowMs: number,
    random: RandomSource,
  ): MembershipEffect[] {
    const sender = unpackMember(digest.sender);
    if (!sender) return [];
    const foreign = sender.region !== this.updates.ownRecord.region;
    this.updates.apply({type: 'record', record: sender}, nowMs);
    const differing = foreign
      ? new Set<number>()
      : this.compare(digest.buckets);
    const regions = this.regions.newerThan(digest.regions);
    if (differing.size === 0 && regions.length === 0) return [];
    if (!this.bucket.take(1, nowMs)) {
      return foreign ? [] : [this.refer(sender, random)];
    }
    const buckets = foreign ? new Uint8Array() : this.ownBuckets();
    const members = this.packBuckets(differing);
    return [this.sync(sender, {reply: foreign, buckets, members, regions})];
  }

  onSync(
    sync: MemberSync,
    nowMs: number,
    random: RandomSource,
  ): MembershipEffect[] {
    const sender = unpackMember(sync.sender);
    if (!sender) return [];
    const spread = this.joining ? 'not' : 'on-probes';
    let news = 0;
    for (const packed of [sync.sender, ...sync.members]) {
      const record = unpackMember(packed);
      if (!record) continue;
      const isNews = this.updates.apply(
        {type: 'record', record},
        nowMs,
        spread,
      );
      if (isNews) news += 1;
    }
    if (news > 0) this.compareSoon(nowMs, random);
    if (sender.region === this.updates.ownRecord.region) this.joining = false;
    if (sync.reply) return [];
    const members = this.packBuckets(this.compare(sync.buckets));
    if (members.length === 0) return [];
    const buckets = new Uint8Array();
    return [this.sync(sender, {reply: true, buckets, members, regions: []})];
  }

  private ownBuckets(): Uint8Array {
    return digestOf(this.updates.table.all());
  }

  /** A peer knew more, so there may be more that others know. */
  private compareSoon(nowMs: number, random: RandomSource): void {
    const soonMs = nowMs + (0.5 + random.next()) * JOINING_PERIOD_MS;
    this.nextCompareAtMs = Math.min(this.nextCompareAtMs, soonMs);
  }

  private compare(theirs: Uint8Array): Set<number> {
    return differingBuckets(this.ownBuckets(), theirs);
  }

  private packBuckets(buckets: ReadonlySet<number>): PackedMember[] {
    if (buckets.size === 0) return [];
    return recordsIn(this.updates.table.all(), buckets).map(packMember);
  }

  private sync(
    to: MemberRecord,
    content: Omit<MemberSync, 'sender'>,
  ): MembershipEffect {
    this.counters.syncsSent += 1;
    const sender = packMember(this.updates.ownRecord);
    const body = {sender, ...content};
    const {address, port} = to;
    const message = {type: 'memberSync', body} as const;
    return {type: 'send-sync', to: {address, port}, message};
  }

  private refer(to: MemberRecord, random: RandomSource): MembershipEffect {
    const alive = [...this.updates.table.present()];
    const chosen = random.sample(alive, REFERRAL_COUNT);
    const updates = chosen.map(entry => packMember(entry.record));
    const body = {from: this.updates.ownRecord.id, updates};
    const {address, port} = to;
    const message = {type: 'memberGossip', body} as const;
    return {type: 'send-datagram', to: {address, port}, message};
  }
}
