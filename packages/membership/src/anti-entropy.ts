/**
 * Anti-entropy: repairs differences between views that probes and gossip left.
 * A node periodically sends a digest of its view to a random member, which
 * answers with the buckets that differ. A joining node gets its initial view
 * this way.
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

/** Mean time in ms between digests sent to a random member. */
const DIGEST_PERIOD_MS = 10_000;

/**
 * Mean time in ms between digests until the initial view has arrived. From then
 * on it doubles with each digest: the initial view may come from a member that
 * is joining too, and the updates of other joining members may have been sent
 * before this node was known.
 */
const JOINING_PERIOD_MS = 1_000;

/**
 * Share of the digests that go to members of the same data centre. The others
 * bring in what the pushes between data centres have lost.
 */
const LOCAL_DIGEST_SHARE = 0.75;

/** Time in ms from joining to the second announcement of a node. */
const SECOND_ANNOUNCEMENT_MS = 1_500;

/** Rate and burst of views sent to peers. A view may be 300 KB. */
const SYNCS_PER_SECOND = 4;
const SYNC_BURST = 4;

/**
 * Number of members named to a peer when the rate of views is exceeded, so that
 * the peer can send its digest to them instead.
 */
const REFERRAL_COUNT = 8;

export class AntiEntropy {
  private nextDigestAtMs: number;
  /** Mean time in ms to the digest after the next one. */
  private periodMs = JOINING_PERIOD_MS;
  private readonly bucket: TokenBucket;
  private joining = true;
  /** Time in ms at which this node announces itself for the second time. */
  private announceAtMs = Infinity;

  constructor(
    private readonly updates: MemberUpdates,
    private readonly regions: RegionDirectory,
    private readonly counters: MembershipCounters,
    nowMs: number,
    random: RandomSource,
  ) {
    this.nextDigestAtMs = nowMs + random.next() * JOINING_PERIOD_MS;
    this.bucket = new TokenBucket(SYNCS_PER_SECOND, SYNC_BURST, nowMs);
  }

  /** True once a peer of this region has sent its view. */
  get hasJoined(): boolean {
    return !this.joining;
  }

  tick(nowMs: number, random: RandomSource): MembershipEffect[] {
    if (nowMs >= this.announceAtMs) {
      this.announceAtMs = Infinity;
      this.updates.announceOwn();
    }
    if (nowMs < this.nextDigestAtMs) return [];
    this.nextDigestAtMs = nowMs + (0.5 + random.next()) * this.periodMs;
    if (!this.joining) {
      this.periodMs = Math.min(2 * this.periodMs, DIGEST_PERIOD_MS);
    }
    const peer = this.pickPeer(random);
    return peer ? [this.sendDigest(peer)] : [];
  }

  /** Returns a member, as a rule one of this node's data centre. */
  private pickPeer(random: RandomSource): Endpoint | undefined {
    const local = this.updates.localEndpoints();
    const isLocal = local.length > 0 && random.next() < LOCAL_DIGEST_SHARE;
    return random.pick(isLocal ? local : this.updates.otherEndpoints());
  }

  /** Sends the digest of this node's view. */
  sendDigest(to: Endpoint): MembershipEffect {
    const body: MemberDigest = {
      sender: packMember(this.updates.ownRecord),
      buckets: this.ownBuckets(),
      regions: this.regions.timestamps(),
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
    const isForeign = sender.region !== this.updates.ownRecord.region;
    this.updates.apply({type: 'record', record: sender}, nowMs);
    const differing = isForeign
      ? new Set<number>()
      : this.findDiffering(digest.buckets);
    const regions = this.regions.newerThan(digest.regions);
    if (differing.size === 0 && regions.length === 0) return [];
    if (!this.bucket.take(1, nowMs)) {
      return isForeign ? [] : [this.sendReferral(sender, random)];
    }
    const buckets = isForeign ? new Uint8Array() : this.ownBuckets();
    const members = this.packBuckets(differing);
    return [
      this.sendSync(sender, {reply: isForeign, buckets, members, regions}),
    ];
  }

  onSync(
    sync: MemberSync,
    nowMs: number,
    random: RandomSource,
  ): MembershipEffect[] {
    const sender = unpackMember(sync.sender);
    if (!sender) return [];
    const propagation = this.joining ? 'none' : 'relay';
    let newCount = 0;
    for (const packed of [sync.sender, ...sync.members]) {
      const record = unpackMember(packed);
      if (!record) continue;
      const isNew = this.updates.apply(
        {type: 'record', record},
        nowMs,
        propagation,
      );
      if (isNew) newCount += 1;
    }
    if (newCount > 0) this.scheduleEarlyDigest(nowMs, random);
    if (sender.region === this.updates.ownRecord.region) {
      this.completeJoin(nowMs);
    }
    if (sync.reply) return [];
    const members = this.packBuckets(this.findDiffering(sync.buckets));
    if (members.length === 0) return [];
    const buckets = new Uint8Array();
    return [
      this.sendSync(sender, {reply: true, buckets, members, regions: []}),
    ];
  }

  /**
   * Announces this node once it knows members to send its record to, and again
   * later, as other nodes may be joining at the same time.
   */
  private completeJoin(nowMs: number): void {
    if (!this.joining) return;
    this.joining = false;
    this.updates.announceOwn();
    this.announceAtMs = nowMs + SECOND_ANNOUNCEMENT_MS;
  }

  private ownBuckets(): Uint8Array {
    return digestOf(this.updates.table.all());
  }

  /** Sends the next digest early: other peers may have further updates. */
  private scheduleEarlyDigest(nowMs: number, random: RandomSource): void {
    const soonMs = nowMs + (0.5 + random.next()) * JOINING_PERIOD_MS;
    this.nextDigestAtMs = Math.min(this.nextDigestAtMs, soonMs);
  }

  private findDiffering(peerDigest: Uint8Array): Set<number> {
    return differingBuckets(this.ownBuckets(), peerDigest);
  }

  private packBuckets(buckets: ReadonlySet<number>): PackedMember[] {
    if (buckets.size === 0) return [];
    return recordsIn(this.updates.table.all(), buckets).map(packMember);
  }

  private sendSync(
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

  private sendReferral(
    to: MemberRecord,
    random: RandomSource,
  ): MembershipEffect {
    const present = [...this.updates.table.present()];
    const chosen = random.sample(present, REFERRAL_COUNT);
    const updates = chosen.map(entry => packMember(entry.record));
    const body = {from: this.updates.ownRecord.id, updates};
    const {address, port} = to;
    const message = {type: 'memberGossip', body} as const;
    return {type: 'send-datagram', to: {address, port}, message};
  }
}
