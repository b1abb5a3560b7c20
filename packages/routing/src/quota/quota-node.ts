/** The usage caps at one node: its own rights, and its role as an owner. */

import type {Message, QuotaAsk, QuotaGrant} from '@turmericmill/wire';

import {KnownHosts} from './known-hosts.js';
import {OwnerChoice, type LiveHost} from './owner-choice.js';
import {QuotaLeases} from './quota-leases.js';
import {QuotaOwner, type QuotaHost} from './quota-owner.js';
import type {QuotaCap, QuotaTerms, QuotaTime} from './quota-terms.js';
import type {QuotaWaiter, RightLot} from './tenant-rights.js';

/** Time in ms in which asks are collected before rights are divided. */
const COLLECT_MS = 10;
/**
 * Time in ms after the start before this node grants rights: until then it may
 * know too few hosts.
 */
const SETTLE_MS = 1_000;
/** The same if the store has not named the hosts. */
const SETTLE_WITHOUT_STORE_MS = 3_000;

/** A message to another node. */
export interface QuotaMessage {
  nodeId: string;
  message: Message;
}

export class QuotaNode {
  private readonly hosts = new KnownHosts();
  private readonly owners = new OwnerChoice();
  private readonly leases: QuotaLeases;
  private readonly owner: QuotaOwner;
  private readonly startMs: number;
  private live: readonly string[];
  private storeRead = false;
  private distributeAtMs = Infinity;
  private outgoing: QuotaMessage[] = [];

  constructor(
    private readonly self: QuotaHost,
    terms: QuotaTerms,
    time: QuotaTime,
  ) {
    this.leases = new QuotaLeases(terms, this.owners, time);
    this.owner = new QuotaOwner(self.incarnation, terms, time);
    this.startMs = time.steadyMs;
    this.live = [self.nodeId];
    this.setLive([], time);
  }

  /** Number of hosts that are bound to this node as their owner. */
  get boundHosts(): number {
    return this.owner.bound;
  }

  /** True if this node, as an owner, has the host's part of the caps. */
  counts(nodeId: string, time: QuotaTime): boolean {
    return this.owner.counts(nodeId, time);
  }

  /** True if this node's part of the caps is with no owner. */
  isFree(time: QuotaTime): boolean {
    return this.leases.isFree(time);
  }

  /** Sets the caps; tenants are named by their digests. */
  setCaps(caps: ReadonlyMap<number, QuotaCap>, time: QuotaTime): void {
    this.leases.setCaps(caps);
    this.owner.setCaps(caps, time);
  }

  /** Sets the live hosts, from the view of the membership. */
  setLive(hosts: readonly LiveHost[], {steadyMs}: QuotaTime): void {
    const {self} = this;
    const others = hosts.filter(({nodeId}) => nodeId !== self.nodeId);
    const live = [self, ...others];
    this.live = live.map(({nodeId}) => nodeId);
    this.hosts.record(this.live, steadyMs);
    this.owners.setHosts(live);
  }

  /** Records the hosts that the store names. */
  addStored(ids: readonly string[], {steadyMs}: QuotaTime): void {
    this.storeRead = true;
    this.hosts.record(ids, steadyMs);
  }

  /** These hosts have left and serve no more. */
  removeDeparted(ids: readonly string[]): void {
    this.hosts.remove(ids);
  }

  /** Counts an arrival and returns a right that is in hand, if any. */
  take(digest: number, time: QuotaTime): RightLot | undefined {
    return this.leases.take(digest, time);
  }

  wait(digest: number, waiter: QuotaWaiter, time: QuotaTime): void {
    this.leases.wait(digest, waiter, time);
  }

  onLost(nodeId: string, time: QuotaTime): void {
    this.leases.onLost(nodeId, time);
  }

  onAsk(from: QuotaHost, ask: QuotaAsk, time: QuotaTime): void {
    this.hosts.record([from.nodeId], time.steadyMs);
    this.updateHostCount(time);
    this.sendAll(this.owner.receive(from, ask, time), time);
    if (this.owner.hasPending && this.distributeAtMs === Infinity) {
      this.distributeAtMs = time.steadyMs + COLLECT_MS;
    }
    this.sendAll(this.owner.invite(this.live, time), time);
  }

  onGrant(from: string, grant: QuotaGrant, time: QuotaTime): void {
    this.leases.onGrant(from, grant, time);
  }

  /** Does what is due and returns the messages to send. */
  step(time: QuotaTime): QuotaMessage[] {
    const hosts = this.hosts.count(time.steadyMs);
    for (const {nodeId, ask} of this.leases.poll(hosts, time)) {
      if (nodeId === this.self.nodeId) this.onAsk(this.self, ask, time);
      else this.send(nodeId, {type: 'quotaAsk', body: ask});
    }
    if (time.steadyMs >= this.distributeAtMs) {
      this.updateHostCount(time);
      this.sendAll(this.owner.distribute(this.live.length, time), time);
      const {hasPending} = this.owner;
      this.distributeAtMs = hasPending ? time.steadyMs + COLLECT_MS : Infinity;
    }
    const {outgoing} = this;
    this.outgoing = [];
    return outgoing;
  }

  /** Time in ms by the steady clock of the next `step`; Infinity if idle. */
  nextStepMs(time: QuotaTime): number {
    if (this.outgoing.length > 0) return time.steadyMs;
    return Math.min(this.leases.nextPollMs(time), this.distributeAtMs);
  }

  /** Gives up the role of an owner; returns the last messages. */
  close(time: QuotaTime): QuotaMessage[] {
    this.sendAll(this.owner.close(time), time);
    return this.step(time);
  }

  private updateHostCount(time: QuotaTime): void {
    const ageMs = time.steadyMs - this.startMs;
    const settleMs = this.storeRead ? SETTLE_MS : SETTLE_WITHOUT_STORE_MS;
    if (ageMs < settleMs) return;
    this.owner.setHostCount(this.hosts.count(time.steadyMs), time);
  }

  private sendAll(
    replies: readonly {nodeId: string; grant: QuotaGrant}[],
    time: QuotaTime,
  ): void {
    for (const {nodeId, grant} of replies) {
      if (nodeId === this.self.nodeId) this.onGrant(nodeId, grant, time);
      else this.send(nodeId, {type: 'quotaGrant', body: grant});
    }
  }

  private send(nodeId: string, message: Message): void {
    this.outgoing.push({nodeId, message});
  }
}
