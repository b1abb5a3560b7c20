/**
 * Disseminates updates in two ways. For speed, a push sends them at once to a
 * few random members, each of which pushes them again when they are new to it.
 * In addition, they are piggybacked on later probes and acks a bounded number
 * of times. A token bucket bounds the bytes of pushes; updates beyond it are
 * piggybacked only.
 *
 * Only the node that creates an update sends it to other data centres, to a few
 * members of each. All others send it within their own data centre, so that the
 * bytes between data centres do not grow with the fleet.
 */

import type {RandomSource} from '@turmericmill/utils';
import {estimatePackedBytes, type PackedUpdate} from '@turmericmill/wire';

import type {
  Endpoint,
  MembershipEffect,
  NodeIdentity,
} from './membership-types.js';
import {TokenBucket} from './token-bucket.js';
import {MAX_UPDATES_BYTES, UpdateQueue} from './update-queue.js';

/** Number of members of a data centre to which updates are pushed at once. */
interface FanOut {
  local: number;
  /** In each data centre other than the sender's. */
  remote: number;
}

const PUSH_FAN_OUT: FanOut = {local: 4, remote: 2};

/** Fan-out of a repeated push, and its delay in ms. */
const REPEAT_FAN_OUT: FanOut = {local: 2, remote: 1};
const REPEAT_DELAY_MS = 300;

/** Number of members to assume for updates to other data centres. */
const REMOTE_MEMBER_COUNT = 2;

/** Rate and burst of pushes in bytes. */
const PUSH_BYTES_PER_SECOND = 2_048;
const PUSH_BURST_BYTES = 256 * 1024;

/** Minimum time in ms between pushes, so that updates share a datagram. */
const MIN_FLUSH_INTERVAL_MS = 20;

/** Bytes of a datagram without its updates, headers included. */
const DATAGRAM_OVERHEAD_BYTES = 60;

/** Updates of members, by member id. */
type Updates = Map<string, PackedUpdate>;

/** Updates to be pushed, by the data centres to which they go. */
class PushBatch {
  readonly all: Updates = new Map();
  /** Those that also go to other data centres. */
  readonly remote: Updates = new Map();

  get isEmpty(): boolean {
    return this.all.size === 0;
  }

  add(update: PackedUpdate, everywhere: boolean): void {
    const [id] = update;
    this.all.set(id, update);
    if (everywhere) this.remote.set(id, update);
    else this.remote.delete(id);
  }

  addAll(other: PushBatch): void {
    for (const [id, update] of other.all) {
      this.add(update, other.remote.has(id));
    }
  }

  clear(): void {
    this.all.clear();
    this.remote.clear();
  }
}

/** The other members that are present, by data centre. */
export type MembersByDataCentre = ReadonlyMap<string, readonly Endpoint[]>;

export class Dissemination {
  private readonly localQueue = new UpdateQueue();
  private readonly remoteQueue = new UpdateQueue();
  private readonly urgent = new PushBatch();
  private readonly repeats = new PushBatch();
  private readonly bucket: TokenBucket;
  private nextFlushAtMs = 0;
  private nextRepeatAtMs = 0;

  constructor(
    private readonly own: Pick<NodeIdentity, 'id' | 'dataCentre'>,
    nowMs: number,
  ) {
    this.bucket = new TokenBucket(
      PUSH_BYTES_PER_SECOND,
      PUSH_BURST_BYTES,
      nowMs,
    );
  }

  /**
   * Queues an update for piggybacking; an `urgent` one is also pushed.
   * `everywhere`: also to other data centres, as this node has created it.
   */
  publish(update: PackedUpdate, urgent: boolean, everywhere: boolean): void {
    this.localQueue.add(update);
    if (everywhere) this.remoteQueue.add(update);
    else this.remoteQueue.remove(update[0]);
    if (urgent) this.urgent.add(update, everywhere);
  }

  /**
   * Returns updates to piggyback on one datagram to a data centre in which
   * there are `memberCount` members; counts them as sent.
   */
  piggyback(dataCentre: string, memberCount: number): PackedUpdate[] {
    return dataCentre === this.own.dataCentre
      ? this.localQueue.nextBatch(memberCount)
      : this.remoteQueue.nextBatch(REMOTE_MEMBER_COUNT);
  }

  /** True when `flush` would push updates now. */
  isFlushDue(nowMs: number): boolean {
    const isDue = !this.urgent.isEmpty && nowMs >= this.nextFlushAtMs;
    return isDue || (!this.repeats.isEmpty && nowMs >= this.nextRepeatAtMs);
  }

  /** Pushes urgent updates and due repeats to a few of `members`. */
  flush(
    nowMs: number,
    random: RandomSource,
    members: MembersByDataCentre,
  ): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    if (!this.repeats.isEmpty && nowMs >= this.nextRepeatAtMs) {
      effects.push(
        ...this.push(this.repeats, REPEAT_FAN_OUT, members, random, nowMs),
      );
      this.repeats.clear();
    }
    if (!this.urgent.isEmpty && nowMs >= this.nextFlushAtMs) {
      this.nextFlushAtMs = nowMs + MIN_FLUSH_INTERVAL_MS;
      effects.push(
        ...this.push(this.urgent, PUSH_FAN_OUT, members, random, nowMs),
      );
      this.scheduleRepeats(nowMs);
    }
    return effects;
  }

  private scheduleRepeats(nowMs: number): void {
    if (this.repeats.isEmpty) this.nextRepeatAtMs = nowMs + REPEAT_DELAY_MS;
    this.repeats.addAll(this.urgent);
    this.urgent.clear();
  }

  private push(
    batch: PushBatch,
    fanOut: FanOut,
    members: MembersByDataCentre,
    random: RandomSource,
    nowMs: number,
  ): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    for (const [dataCentre, endpoints] of members) {
      const isLocal = dataCentre === this.own.dataCentre;
      const updates = isLocal ? batch.all : batch.remote;
      const count = isLocal ? fanOut.local : fanOut.remote;
      const targets = random.sample(endpoints, count);
      effects.push(...this.pushTo(updates, targets, nowMs));
    }
    return effects;
  }

  private pushTo(
    queued: Updates,
    targets: readonly Endpoint[],
    nowMs: number,
  ): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    for (const updates of splitIntoDatagrams(queued.values())) {
      const bytes = sizeOf(updates) + DATAGRAM_OVERHEAD_BYTES;
      if (!this.bucket.take(bytes * targets.length, nowMs)) break;
      for (const to of targets) {
        const body = {from: this.own.id, updates};
        const message = {type: 'memberGossip', body} as const;
        const {address, port} = to;
        effects.push({type: 'send-datagram', to: {address, port}, message});
      }
    }
    return effects;
  }
}

/** Splits updates into lists that each fit into one datagram. */
function splitIntoDatagrams(updates: Iterable<PackedUpdate>): PackedUpdate[][] {
  const lists: PackedUpdate[][] = [];
  let list: PackedUpdate[] = [];
  let bytes = 0;
  for (const update of updates) {
    const size = estimatePackedBytes(update);
    if (list.length > 0 && bytes + size > MAX_UPDATES_BYTES) {
      lists.push(list);
      list = [];
      bytes = 0;
    }
    list.push(update);
    bytes += size;
  }
  if (list.length > 0) lists.push(list);
  return lists;
}

function sizeOf(updates: readonly PackedUpdate[]): number {
  return updates.reduce((sum, update) => sum + estimatePackedBytes(update), 0);
}
