/**
 * Spreads news in two ways: at once to a few random members, each of which does
 * the same on first hearing; and on later probes and answers, a bounded number
 * of times. The first is fast; its bytes are bounded by a token bucket, and
 * what the bucket does not admit goes the second way alone.
 */

import type {RandomSource} from '@turmericmill/utils';
import {estimatePackedBytes, type PackedUpdate} from '@turmericmill/wire';

import type {MembershipEffect, Endpoint} from './membership-types.js';
import {TokenBucket} from './token-bucket.js';
import {MAX_UPDATE_BYTES, UpdateQueue} from './update-queue.js';

/** Members to whom news are sent at once. */
const FAN_OUT = 4;

/** Members to whom they are sent once more, and the time in ms until then. */
const REPEAT_FAN_OUT = 2;
const REPEAT_DELAY_MS = 300;

/** Rate and burst of news sent at once, in bytes. */
const PUSH_BYTES_PER_SECOND = 2_048;
const PUSH_BURST_BYTES = 256 * 1024;

/** Time in ms in which news are gathered into one datagram. */
const GATHER_MS = 20;

/** Bytes of a datagram beside its updates, headers included. */
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

  /** Takes news; `urgent` ones are also sent at once. */
  publish(update: PackedUpdate, urgent: boolean): void {
    this.queue.add(update);
    if (urgent) this.urgent.set(update[0], update);
  }

  /** Updates to ride on a datagram that is sent anyway. */
  piggyback(memberCount: number): PackedUpdate[] {
    return this.queue.take(memberCount);
  }

  /** True when there is something that `flush` would send now. */
  isDue(nowMs: number): boolean {
    const first = this.urgent.size > 0 && nowMs >= this.nextFlushAtMs;
    return first || (this.repeats.size > 0 && nowMs >= this.nextRepeatAtMs);
  }

  /** Sends what is urgent to a few of `candidates`. */
  flush(
    nowMs: number,
    random: RandomSource,
    candidates: readonly Endpoint[],
  ): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    if (this.repeats.size > 0 && nowMs >= this.nextRepeatAtMs) {
      const targets = random.sample(candidates, REPEAT_FAN_OUT);
      effects.push(...this.send(this.repeats, targets, nowMs));
      this.repeats.clear();
    }
    if (this.urgent.size > 0 && nowMs >= this.nextFlushAtMs) {
      this.nextFlushAtMs = nowMs + GATHER_MS;
      const targets = random.sample(candidates, FAN_OUT);
      effects.push(...this.send(this.urgent, targets, nowMs));
      this.planRepeats(nowMs);
    }
    return effects;
  }

  private planRepeats(nowMs: number): void {
    if (this.repeats.size === 0) this.nextRepeatAtMs = nowMs + REPEAT_DELAY_MS;
    for (const [id, update] of this.urgent) this.repeats.set(id, update);
    this.urgent.clear();
  }

  private send(
    news: ReadonlyMap<string, PackedUpdate>,
    targets: readonly Endpoint[],
    nowMs: number,
  ): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    for (const updates of cutIntoDatagrams(news.values())) {
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

/** Lists of updates that each fit a datagram. */
function cutIntoDatagrams(updates: Iterable<PackedUpdate>): PackedUpdate[][] {
  const lists: PackedUpdate[][] = [];
  let list: PackedUpdate[] = [];
  let bytes = 0;
  for (const update of updates) {
    const size = estimatePackedBytes(update);
    if (list.length > 0 && bytes + size > MAX_UPDATE_BYTES) {
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
