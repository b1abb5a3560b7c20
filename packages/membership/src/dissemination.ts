/**
 * Disseminates updates in two ways. For speed, a push sends them at once to a
 * few random members, each of which pushes them again when they are new to it.
 * In addition, they are piggybacked on later probes and acks a bounded number
 * of times. A token bucket bounds the bytes of pushes; updates beyond it are
 * piggybacked only.
 */

import type {RandomSource} from '@turmericmill/utils';
import {estimatePackedBytes, type PackedUpdate} from '@turmericmill/wire';

import type {MembershipEffect, Endpoint} from './membership-types.js';
import {TokenBucket} from './token-bucket.js';
import {MAX_UPDATES_BYTES, UpdateQueue} from './update-queue.js';

/** Number of members to which updates are pushed at once. */
const FAN_OUT = 4;

/** Number of members to which a push is repeated, and the delay in ms. */
const REPEAT_FAN_OUT = 2;
const REPEAT_DELAY_MS = 300;

/** Rate and burst of pushes in bytes. */
const PUSH_BYTES_PER_SECOND = 2_048;
const PUSH_BURST_BYTES = 256 * 1024;

/** Minimum time in ms between pushes, so that updates share a datagram. */
const MIN_FLUSH_INTERVAL_MS = 20;

/** Bytes of a datagram without its updates, headers included. */
const DATAGRAM_OVERHEAD_BYTES = 60;

export class Dissemination {
  private readonly queue = new UpdateQueue();
  private readonly urgent = new Map<string, PackedUpdate>();
  private readonly bucket: TokenBucket;
  private readonly repeats = new Map<string, PackedUpdate>();
  private nextFlushAtMs = 0;
  private nextRepeatAtMs = 0;

  constructor(
    private readonly ownId: string,
    nowMs: number,
  ) {
    this.bucket = new TokenBucket(
      PUSH_BYTES_PER_SECOND,
      PUSH_BURST_BYTES,
      nowMs,
    );
  }

  /** Queues an update for piggybacking; an `urgent` one is also pushed. */
  publish(update: PackedUpdate, urgent: boolean): void {
    this.queue.add(update);
    if (urgent) this.urgent.set(update[0], update);
  }

  /** Returns updates to piggyback on one datagram; counts them as sent. */
  piggyback(memberCount: number): PackedUpdate[] {
    return this.queue.nextBatch(memberCount);
  }

  /** True when `flush` would push updates now. */
  isFlushDue(nowMs: number): boolean {
    const isDue = this.urgent.size > 0 && nowMs >= this.nextFlushAtMs;
    return isDue || (this.repeats.size > 0 && nowMs >= this.nextRepeatAtMs);
  }

  /** Pushes urgent updates and due repeats to a few of `candidates`. */
  flush(
    nowMs: number,
    random: RandomSource,
    candidates: readonly Endpoint[],
  ): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    if (this.repeats.size > 0 && nowMs >= this.nextRepeatAtMs) {
      const targets = random.sample(candidates, REPEAT_FAN_OUT);
      effects.push(...this.pushTo(this.repeats, targets, nowMs));
      this.repeats.clear();
    }
    if (this.urgent.size > 0 && nowMs >= this.nextFlushAtMs) {
      this.nextFlushAtMs = nowMs + MIN_FLUSH_INTERVAL_MS;
      const targets = random.sample(candidates, FAN_OUT);
      effects.push(...this.pushTo(this.urgent, targets, nowMs));
      this.scheduleRepeats(nowMs);
    }
    return effects;
  }

  private scheduleRepeats(nowMs: number): void {
    if (this.repeats.size === 0) this.nextRepeatAtMs = nowMs + REPEAT_DELAY_MS;
    for (const [id, update] of this.urgent) this.repeats.set(id, update);
    this.urgent.clear();
  }

  private pushTo(
    queued: ReadonlyMap<string, PackedUpdate>,
    targets: readonly Endpoint[],
    nowMs: number,
  ): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    for (const updates of splitIntoDatagrams(queued.values())) {
      const bytes = sizeOf(updates) + DATAGRAM_OVERHEAD_BYTES;
      if (!this.bucket.take(bytes * targets.length, nowMs)) break;
      for (const to of targets) {
        const body = {from: this.ownId, updates};
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
