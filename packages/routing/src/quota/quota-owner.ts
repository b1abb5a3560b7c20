/**
 * Grants the rights of all tenants with a cap to the hosts that are bound to
 * this owner. Load pattern: a tenant's requests arrive unevenly over hosts, and
 * move between them every second, while its cap holds for all hosts together.
 *
 * The cap is divided into as many parts as there are hosts. The part of a host
 * is at each time either with the host or with one owner: see
 * docs/design/usage-caps.md for the proof.
 */

import type {QuotaAsk, QuotaGrant} from '@turmericmill/wire';

import {CapBucket} from './cap-bucket.js';
import {divideFairly} from './fair-division.js';
import type {QuotaCap, QuotaTerms, QuotaTime} from './quota-terms.js';

/** Time in ms after the last demand in which hosts stay bound. */
const ACTIVE_MS = 1_000;
/**
 * Time in ms in which asks wait for the parts of other hosts after an idle
 * period: an invitation and its reply, of up to 30 ms each.
 */
const GATHER_MS = 80;
/** Time in ms between two invitations to a host that is not bound. */
const INVITE_INTERVAL_MS = 100;
/**
 * Time in ms for which rights of tenants without a known cap are granted: a new
 * version reaches some nodes earlier than their owner.
 */
const UNKNOWN_GRANTED_MS = 2_500;
/** Longest time in ms that is named as the time until a right is free. */
const MAX_RETRY_MS = 60_000;
/** Numbers for each tenant in the lists of the messages. */
const FIELDS = 3;

/** A message to a node. */
export interface QuotaReply {
  nodeId: string;
  grant: QuotaGrant;
}

/** The process that sent an ask. */
export interface QuotaHost {
  nodeId: string;
  incarnation: number;
}

interface HostRecord {
  incarnation: number;
  /** Highest number of an ask of this process. */
  seq: number;
  /** Number of the last binding whose unused time was taken. */
  binding: number;
  /** Time in ms by `progressMs` at which the binding ends. */
  boundUntilMs: number;
  /** Number of hosts that this host knows. */
  hosts: number;
  isBound: boolean;
}

interface PendingAsk {
  nodeId: string;
  ask: QuotaAsk;
}

interface TenantDemand {
  pending: PendingAsk;
  waiting: number;
  ahead: number;
}

export class QuotaOwner {
  private readonly hosts = new Map<string, HostRecord>();
  private readonly buckets = new Map<number, CapBucket>();
  /** Time in ms at which rights were first asked for without a known cap. */
  private readonly unknownSinceMs = new Map<number, number>();
  private pending: PendingAsk[] = [];
  private boundCount = 0;
  /** Number of hosts by the view of this node; infinite while unknown. */
  private ownHostCount = Infinity;
  /** Number of hosts among which the caps are divided. */
  private hostCount = Infinity;
  private filledMs: number;
  private lastDemandMs = -Infinity;
  private gatherUntilMs = -Infinity;
  private nextInviteMs = -Infinity;
  /** Moves the first of the hosts that get the rights left over. */
  private rotation = 0;
  private closed = false;

  constructor(
    private readonly incarnation: number,
    private readonly terms: QuotaTerms,
    time: QuotaTime,
  ) {
    this.filledMs = time.steadyMs;
  }

  /** Number of hosts that are bound to this owner. */
  get bound(): number {
    return this.boundCount;
  }

  /** True if the host's part of the caps is lent to this owner. */
  counts(nodeId: string, {progressMs}: QuotaTime): boolean {
    const record = this.hosts.get(nodeId);
    return record?.isBound === true && progressMs < record.boundUntilMs;
  }

  /** True if asks have to be answered by `distribute`. */
  get hasPending(): boolean {
    return this.pending.length > 0;
  }

  /** Puts caps in force at once; tenants are named by their digests. */
  setCaps(caps: ReadonlyMap<number, QuotaCap>, time: QuotaTime): void {
    this.advance(time);
    this.unknownSinceMs.clear();
    for (const digest of this.buckets.keys()) {
      if (!caps.has(digest)) this.buckets.delete(digest);
    }
    for (const [digest, cap] of caps) {
      const bucket = this.buckets.get(digest);
      if (bucket) bucket.setCap(cap, this.share);
      else this.buckets.set(digest, new CapBucket(cap, this.terms));
    }
  }

  /** Sets the number of hosts that may serve, from the view of this node. */
  setHostCount(count: number, time: QuotaTime): void {
    this.advance(time);
    this.ownHostCount = count;
    this.updateShare();
  }

  /** Returns the replies that need no rights; `distribute` gives the others. */
  receive(host: QuotaHost, ask: QuotaAsk, time: QuotaTime): QuotaReply[] {
    const {nodeId} = host;
    if (this.closed) return [this.reply(nodeId, time, ask.seq, {ended: true})];
    this.advance(time);
    const record = this.recordOf(host);
    if (!record || ask.seq <= record.seq) return [];
    record.seq = ask.seq;
    record.hosts = ask.hosts;
    if (ask.leaves) {
      this.unbind(record);
      return [this.reply(nodeId, time, ask.seq, {ended: true})];
    }
    if (ask.demands.length > 0) this.noteDemand(time);
    if (!this.isFresh(ask, time)) return [this.reply(nodeId, time, ask.seq)];
    this.bind(record, ask);
    this.pending = this.pending.filter(other => other.nodeId !== nodeId);
    this.pending.push({nodeId, ask});
    return [];
  }

  /** Answers the asks that have come; none while parts are gathered. */
  distribute(liveHosts: number, time: QuotaTime): QuotaReply[] {
    this.advance(time);
    const demands = this.demandsByTenant();
    const isGathering =
      time.steadyMs < this.gatherUntilMs && this.boundCount < liveHosts;
    if (isGathering && this.hasUnmet(demands)) return [];
    const grants = new Map<PendingAsk, number[]>(
      this.pending.map(pending => [pending, []]),
    );
    for (const [digest, list] of demands) {
      this.grantTenant(digest, list, grants, time);
    }
    this.rotation++;
    this.pending = [];
    return [...grants].map(([{nodeId, ask}, list]) =>
      this.reply(nodeId, time, ask.seq, {bound: true, grants: list}),
    );
  }

  /** Returns invitations to live hosts that are not bound, while any is busy. */
  invite(liveHosts: readonly string[], time: QuotaTime): QuotaReply[] {
    if (!this.isActive(time) || time.steadyMs < this.nextInviteMs) return [];
    this.nextInviteMs = time.steadyMs + INVITE_INTERVAL_MS;
    return liveHosts
      .filter(nodeId => !this.hosts.get(nodeId)?.isBound)
      .map(nodeId => this.reply(nodeId, time, 0));
  }

  /** Ends all bindings for good; returns the notices for the bound hosts. */
  close(time: QuotaTime): QuotaReply[] {
    this.closed = true;
    this.pending = [];
    const bound = [...this.hosts].filter(([, {isBound}]) => isBound);
    for (const [, record] of bound) this.unbind(record);
    return bound.map(([id]) => this.reply(id, time, 0, {ended: true}));
  }

  isActive({steadyMs}: QuotaTime): boolean {
    return !this.closed && steadyMs - this.lastDemandMs < ACTIVE_MS;
  }

  private get share(): number {
    return Math.min(1, this.boundCount / this.hostCount);
  }

  private noteDemand(time: QuotaTime): void {
    if (!this.isActive(time)) this.gatherUntilMs = time.steadyMs + GATHER_MS;
    this.lastDemandMs = time.steadyMs;
  }

  /** Returns undefined for a process that has been replaced. */
  private recordOf({nodeId, incarnation}: QuotaHost): HostRecord | undefined {
    const known = this.hosts.get(nodeId);
    if (known && incarnation < known.incarnation) return undefined;
    if (known?.incarnation === incarnation) return known;
    if (known) this.unbind(known);
    const none = {seq: 0, binding: 0, boundUntilMs: -Infinity, hosts: 1};
    const record = {incarnation, ...none, isBound: false};
    this.hosts.set(nodeId, record);
    return record;
  }

  /** True if the ask returns a ticket of this process that has not ended. */
  private isFresh(ask: QuotaAsk, {progressMs}: QuotaTime): boolean {
    const ageMs = progressMs - ask.ticketMs;
    const isOwn = ask.owner === this.incarnation;
    const isKnown = Number.isFinite(this.ownHostCount);
    return isOwn && isKnown && ageMs >= 0 && ageMs < this.terms.bindingMs;
  }

  private bind(record: HostRecord, ask: QuotaAsk): void {
    const untilMs = ask.ticketMs + this.terms.bindingMs;
    record.boundUntilMs = Math.max(record.boundUntilMs, untilMs);
    if (!record.isBound) {
      record.isBound = true;
      this.boundCount++;
    }
    const isNew = ask.binding > record.binding;
    record.binding = Math.max(record.binding, ask.binding);
    this.updateHostCount();
    if (isNew) {
      for (const bucket of this.buckets.values()) {
        bucket.lend(1 / this.hostCount, ask.freeMs);
        if (ask.starter) bucket.addStarter(1 / this.hostCount);
      }
    }
    this.clipAll();
  }

  private unbind(record: HostRecord): void {
    if (!record.isBound) return;
    record.isBound = false;
    this.boundCount--;
    this.updateShare();
  }

  private updateShare(): void {
    this.updateHostCount();
    this.clipAll();
  }

  /** Takes the largest number of hosts that any bound host knows. */
  private updateHostCount(): void {
    let count = Math.max(this.ownHostCount, this.boundCount);
    for (const {isBound, hosts} of this.hosts.values()) {
      if (isBound) count = Math.max(count, hosts);
    }
    this.hostCount = count;
  }

  private clipAll(): void {
    for (const bucket of this.buckets.values()) bucket.clip(this.share);
  }

  /**
   * Fills the buckets. Bindings that have ended meanwhile lend nothing for the
   * time since the last call, which is short and errs to the safe side.
   */
  private advance({steadyMs, progressMs}: QuotaTime): void {
    const elapsedMs = Math.max(0, steadyMs - this.filledMs);
    this.filledMs = Math.max(this.filledMs, steadyMs);
    for (const record of this.hosts.values()) {
      if (record.isBound && progressMs >= record.boundUntilMs) {
        this.unbind(record);
      }
    }
    if (elapsedMs === 0 || this.boundCount === 0) return;
    for (const bucket of this.buckets.values()) {
      bucket.fill(this.share, elapsedMs);
    }
  }

  private demandsByTenant(): Map<number, TenantDemand[]> {
    const byTenant = new Map<number, TenantDemand[]>();
    for (const pending of this.pending) {
      const {demands} = pending.ask;
      for (let i = 0; i < demands.length; i += FIELDS) {
        const [digest = 0, waiting = 0, ahead = 0] = demands.slice(i, i + 3);
        const list = byTenant.get(digest) ?? [];
        list.push({pending, waiting, ahead});
        byTenant.set(digest, list);
      }
    }
    return byTenant;
  }

  private hasUnmet(demands: ReadonlyMap<number, TenantDemand[]>): boolean {
    return [...demands].some(([digest, list]) => {
      const wanted = list.reduce((sum, {waiting}) => sum + waiting, 0);
      return wanted > (this.buckets.get(digest)?.whole ?? Infinity);
    });
  }

  private grantTenant(
    digest: number,
    list: readonly TenantDemand[],
    grants: ReadonlyMap<PendingAsk, number[]>,
    time: QuotaTime,
  ): void {
    const bucket = this.buckets.get(digest);
    const waiting = list.map(demand => demand.waiting);
    const ahead = list.map(demand => demand.ahead);
    const first = this.rotation % list.length;
    const whole = bucket?.whole ?? this.unknownRights(digest, time);
    const served = divideFairly(waiting, whole, first);
    bucket?.take(sumOf(served));
    const spare = bucket?.spare(this.share) ?? whole;
    const inAdvance = divideFairly(ahead, spare, first);
    bucket?.take(sumOf(inAdvance));
    const unmet = sumOf(waiting) - sumOf(served);
    const untilMs = bucket?.timeUntilMs(unmet, this.share) ?? 0;
    const retryMs = unmet > 0 ? Math.ceil(Math.min(MAX_RETRY_MS, untilMs)) : 0;
    for (const [index, {pending}] of list.entries()) {
      const count = (served[index] ?? 0) + (inAdvance[index] ?? 0);
      if (count + retryMs === 0) continue;
      grants.get(pending)?.push(digest, count, retryMs);
    }
  }

  /** Rights of a tenant whose cap is not known here: all for a short time. */
  private unknownRights(digest: number, {steadyMs}: QuotaTime): number {
    const sinceMs = this.unknownSinceMs.get(digest) ?? steadyMs;
    this.unknownSinceMs.set(digest, sinceMs);
    return steadyMs - sinceMs < UNKNOWN_GRANTED_MS ? Infinity : 0;
  }

  private reply(
    nodeId: string,
    time: QuotaTime,
    seq: number,
    fields: Partial<QuotaGrant> = {},
  ): QuotaReply {
    const count = Math.max(this.ownHostCount, this.hostCount);
    const grant = {
      seq,
      owner: this.incarnation,
      ticketMs: time.progressMs,
      hosts: Number.isFinite(count) ? count : 0,
      active: this.isActive(time),
      bound: false,
      ended: false,
      grants: [],
    };
    return {nodeId, grant: {...grant, ...fields}};
  }
}

function sumOf(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}
