/**
 * The rights of one host for all tenants with a cap: asks the owner for them in
 * one message, hands them to requests, and keeps requests waiting for a reply.
 */

import type {QuotaAsk, QuotaGrant} from '@turmericmill/wire';

import {OwnShare} from './own-share.js';
import type {OwnerChoice} from './owner-choice.js';
import {NOT_BOUND, QuotaBinding} from './quota-binding.js';
import type {QuotaCap, QuotaTerms, QuotaTime} from './quota-terms.js';
import {
  TenantRights,
  type QuotaWaiter,
  type RightLot,
} from './tenant-rights.js';

/** Least time in ms between two asks with demand. */
const ASK_INTERVAL_MS = 100;
/** Time in ms without a reply after which the next owner is asked as well. */
const SLOW_REPLY_MS = 120;
/** Time in ms without a reply after which the owner is given up. */
const LOST_REPLY_MS = 250;
/** Time in ms for which an active owner keeps hosts without demand asking. */
const ACTIVE_MS = 400;
/** Time in ms named to a request that got no reply and no right. */
const NO_REPLY_RETRY_MS = 500;
/** Least time in ms between two asks that return a ticket at once. */
const BIND_INTERVAL_MS = 30;
const FIELDS = 3;

/** A message to an owner. */
export interface QuotaSend {
  nodeId: string;
  ask: QuotaAsk;
}

interface SentAsk {
  nodeId: string;
  at: QuotaTime;
}

export class QuotaLeases {
  private readonly tenants = new Map<number, TenantRights>();
  private readonly binding: QuotaBinding;
  private readonly ownShare: OwnShare;
  /** Asks without a reply, by number. */
  private readonly sent = new Map<number, SentAsk>();
  private caps: ReadonlyMap<number, QuotaCap> = new Map();
  private seq = 0;
  private nextAskMs = -Infinity;
  private activeUntilMs = -Infinity;
  /** The owner whose ticket has come and is to be returned at once. */
  private readyOwner: string | undefined;
  private nextBindMs = -Infinity;
  /** Number of the ask that gave up the binding; 0 if there is none. */
  private leaveSeq = 0;
  /** Number of the last ask that bound this host or kept it bound. */
  private boundSeq = 0;
  /** Time of the first ask to each owner that has no reply yet. */
  private readonly silentSinceMs = new Map<string, number>();
  /** Number of hosts by the last owner that answered. */
  private ownerHosts = 0;

  constructor(
    private readonly terms: QuotaTerms,
    private readonly owners: OwnerChoice,
    time: QuotaTime,
  ) {
    this.binding = new QuotaBinding(terms, time);
    this.ownShare = new OwnShare(terms);
  }

  setCaps(caps: ReadonlyMap<number, QuotaCap>): void {
    this.caps = caps;
  }

  /** Counts an arrival and returns a right that is in hand, if any. */
  take(digest: number, time: QuotaTime): RightLot | undefined {
    return this.tenant(digest, time).take(time);
  }

  wait(digest: number, waiter: QuotaWaiter, time: QuotaTime): void {
    this.tenant(digest, time).wait(waiter);
  }

  /** True if no owner counts this host, so that it may use its own part. */
  isFree(time: QuotaTime): boolean {
    return this.binding.isFree(time);
  }

  /** The connection with an owner was lost. */
  onLost(nodeId: string, {steadyMs}: QuotaTime): void {
    if (this.silentSinceMs.has(nodeId)) this.owners.avoid(nodeId, steadyMs);
    this.silentSinceMs.delete(nodeId);
  }

  /** Ends waits that are over and returns the asks that are due. */
  poll(hosts: number, time: QuotaTime): QuotaSend[] {
    this.endWaits(hosts, time);
    this.giveUpSilent(time);
    for (const [digest, tenant] of this.tenants) {
      if (tenant.isIdle) this.tenants.delete(digest);
    }
    if (!this.isDue(time)) return [];
    this.readyOwner = undefined;
    this.nextAskMs = time.steadyMs + ASK_INTERVAL_MS;
    return this.targets(time).map(nodeId => this.send(nodeId, hosts, time));
  }

  /** Time in ms by the steady clock of the next `poll`; Infinity if idle. */
  nextPollMs(time: QuotaTime): number {
    let nextMs = this.wantsAsk(time) ? this.nextAskMs : Infinity;
    if (this.readyOwner) nextMs = time.steadyMs;
    for (const {deadlineMs} of this.tenants.values()) {
      nextMs = Math.min(nextMs, deadlineMs);
    }
    const {freeAtMs} = this.binding;
    if (freeAtMs > time.steadyMs && this.wantsAsk(time)) {
      nextMs = Math.min(nextMs, freeAtMs);
    }
    return nextMs;
  }

  onGrant(nodeId: string, grant: QuotaGrant, time: QuotaTime): void {
    const sent = this.sent.get(grant.seq);
    this.silentSinceMs.delete(nodeId);
    if (grant.ended) {
      this.onEnded(nodeId, grant, time);
      return;
    }
    if (grant.hosts === 0) {
      // The owner has just started and grants nothing yet.
      this.owners.avoid(nodeId, time.steadyMs);
      this.sent.delete(grant.seq);
      return;
    }
    this.binding.addTicket(nodeId, grant, time);
    if (grant.active) this.activeUntilMs = time.steadyMs + ACTIVE_MS;
    this.ownerHosts = grant.hosts;
    if (!grant.bound) this.prepareToBind(nodeId, time);
    if (sent?.nodeId !== nodeId) return;
    this.sent.delete(grant.seq);
    const {grants} = grant;
    for (let i = 0; i < grants.length; i += FIELDS) {
      const [digest = 0, count = 0, retryMs = 0] = grants.slice(i, i + FIELDS);
      this.addRights(digest, count, retryMs, sent, time);
    }
  }

  private addRights(
    digest: number,
    count: number,
    retryMs: number,
    {at}: SentAsk,
    time: QuotaTime,
  ): void {
    const tenant = this.tenants.get(digest);
    if (!tenant) return;
    const endsMs = at.progressMs + this.terms.leaseMs;
    if (count > 0) tenant.add({count, endsMs}, time);
    if (retryMs > 0) tenant.refuse(retryMs, at.steadyMs, time);
  }

  private tenant(digest: number, time: QuotaTime): TenantRights {
    let tenant = this.tenants.get(digest);
    if (!tenant) {
      tenant = new TenantRights(this.terms, time);
      this.tenants.set(digest, tenant);
    }
    return tenant;
  }

  private onEnded(nodeId: string, grant: QuotaGrant, time: QuotaTime): void {
    this.sent.delete(grant.seq);
    // An earlier end was followed by an ask that may have bound this host again.
    const isFinal = grant.seq === 0 || grant.seq >= this.boundSeq;
    if (!isFinal) return;
    const isOwnWish = this.leaveSeq > 0 && grant.seq === this.leaveSeq;
    if (isOwnWish) {
      this.leaveSeq = 0;
    } else if (this.leaveSeq === 0) {
      this.owners.avoid(nodeId, time.steadyMs);
    }
    this.binding.end(nodeId, grant.owner, time);
    this.nextAskMs = time.steadyMs;
  }

  /** A ticket has come: binds to its owner at once if that is the chosen one. */
  private prepareToBind(nodeId: string, time: QuotaTime): void {
    const {steadyMs} = time;
    if (steadyMs < this.nextBindMs) return;
    if (this.owners.choose(steadyMs) !== nodeId) return;
    const bound = this.binding.ownerAt(time);
    if (bound !== undefined && bound !== nodeId) return;
    this.readyOwner = nodeId;
    this.nextBindMs = steadyMs + BIND_INTERVAL_MS;
  }

  private wantsAsk({steadyMs}: QuotaTime): boolean {
    return this.tenants.size > 0 || steadyMs < this.activeUntilMs;
  }

  private isDue(time: QuotaTime): boolean {
    if (this.readyOwner) return true;
    if (!this.wantsAsk(time)) return false;
    return time.steadyMs >= this.nextAskMs || this.mayBindNow(time);
  }

  /** True if the former binding has ended and the new owner's ticket is here. */
  private mayBindNow(time: QuotaTime): boolean {
    const chosen = this.owners.choose(time.steadyMs);
    return (
      chosen !== undefined &&
      this.binding.isFree(time) &&
      this.binding.hasTicket(chosen, time)
    );
  }

  /**
   * The owner that counts this host, and the chosen one if it is another: that
   * one is asked for a ticket before this host leaves the former.
   */
  private targets(time: QuotaTime): string[] {
    const {steadyMs} = time;
    const chosen = this.owners.choose(steadyMs);
    const bound = this.binding.ownerAt(time);
    if (chosen === undefined) return [];
    if (bound !== undefined && bound !== chosen) return [bound, chosen];
    const silentMs = this.silentSinceMs.get(chosen) ?? Infinity;
    const next = this.owners.choose(steadyMs, chosen);
    const isSlow = steadyMs - silentMs > SLOW_REPLY_MS;
    return isSlow && next !== undefined ? [chosen, next] : [chosen];
  }

  private send(nodeId: string, hosts: number, time: QuotaTime): QuotaSend {
    const {steadyMs} = time;
    const seq = ++this.seq;
    const chosen = this.owners.choose(steadyMs);
    const isFormer = this.binding.ownerAt(time) === nodeId && chosen !== nodeId;
    const leaves =
      isFormer && chosen !== undefined && this.binding.hasTicket(chosen, time);
    this.sent.set(seq, {nodeId, at: time});
    if (!this.silentSinceMs.has(nodeId)) {
      this.silentSinceMs.set(nodeId, steadyMs);
    }
    if (leaves) this.leaveSeq = seq;
    // The next owner is asked for a ticket only, until the chosen one is lost.
    const mayBind = !leaves && (nodeId === chosen || isFormer);
    const fields = mayBind ? this.binding.fieldsFor(nodeId, time) : NOT_BOUND;
    if (fields.owner !== 0) {
      this.boundSeq = seq;
      this.leaveSeq = 0;
      this.ownShare.reset();
    }
    const demands = leaves ? [] : this.demands(nodeId === chosen, time);
    return {nodeId, ask: {seq, ...fields, hosts, leaves, demands}};
  }

  /** Names only tenants that want rights, as links may be narrow. */
  private demands(measures: boolean, time: QuotaTime): number[] {
    return [...this.tenants].flatMap(([digest, tenant]) => {
      const {waiting} = tenant;
      const ahead = measures ? tenant.measureAhead(time) : 0;
      return waiting + ahead > 0 ? [digest, waiting, ahead] : [];
    });
  }

  private giveUpSilent({steadyMs}: QuotaTime): void {
    for (const [nodeId, sinceMs] of this.silentSinceMs) {
      if (steadyMs - sinceMs < LOST_REPLY_MS) continue;
      this.owners.avoid(nodeId, steadyMs);
      this.silentSinceMs.delete(nodeId);
    }
    for (const [seq, {at}] of this.sent) {
      if (steadyMs - at.steadyMs >= this.terms.leaseMs) this.sent.delete(seq);
    }
  }

  private endWaits(hosts: number, time: QuotaTime): void {
    for (const [digest, tenant] of this.tenants) {
      for (const waiter of tenant.takeOverdue(time)) {
        if (this.takeOwn(digest, hosts, time)) {
          const lot = {count: 0, endsMs: -Infinity};
          waiter.settle({kind: 'granted', lot});
        } else {
          const retryAfterMs = NO_REPLY_RETRY_MS;
          waiter.settle({kind: 'refused', reason: 'no-reply', retryAfterMs});
        }
      }
    }
  }

  /** Takes a right of this host's own part, while no owner counts it. */
  private takeOwn(digest: number, hosts: number, time: QuotaTime): boolean {
    const cap = this.caps.get(digest);
    if (!cap || !this.binding.isFree(time)) return false;
    const {freeAtMs} = this.binding;
    const parts = Math.max(hosts, this.ownerHosts);
    const nowMs = time.steadyMs;
    const part = {freeAtMs, hosts: parts, nowMs};
    if (!this.ownShare.take(digest, cap, part)) return false;
    this.binding.useFreeTime(time);
    return true;
  }
}
