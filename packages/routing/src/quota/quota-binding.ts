/**
 * Binds a host to one owner at a time. The part of the caps that belongs to the
 * host is lent to the owner while the binding lasts; otherwise the host has it.
 */

import type {QuotaGrant} from '@turmericmill/wire';

import type {QuotaTerms, QuotaTime} from './quota-terms.js';

interface Ticket {
  nodeId: string;
  /** Incarnation of the owner. */
  owner: number;
  ticketMs: number;
  /** Time in ms by the steady clock. */
  receivedMs: number;
}

/** The fields of an ask that concern the binding. */
export interface BindingFields {
  owner: number;
  ticketMs: number;
  binding: number;
  freeMs: number;
  starter: boolean;
}

/** Fields of an ask that only requests a ticket. */
export const NOT_BOUND: BindingFields = {
  owner: 0,
  ticketMs: 0,
  binding: 0,
  freeMs: 0,
  starter: false,
};

export class QuotaBinding {
  /** Owner that this host last bound itself to. */
  private boundTo: {nodeId: string; owner: number} | undefined;
  /** Time in ms by the steady clock until which the owner may count this host. */
  private boundUntilMs: number;
  /** Time in ms of the last use of this host's part while it was free. */
  private usedMs = -Infinity;
  private binding = 0;
  private freeMs = 0;
  private starter = false;
  /** Time in ms from which a binding may bring a starter. */
  private nextStarterMs: number;
  private readonly tickets = new Map<string, Ticket>();

  /** A former process of this host may still be bound for one lease. */
  constructor(
    private readonly terms: QuotaTerms,
    {steadyMs}: QuotaTime,
  ) {
    this.boundUntilMs = steadyMs + terms.bindingMs;
    this.nextStarterMs = steadyMs + terms.starterIntervalMs;
  }

  /** The owner that counts this host; undefined while the host is free. */
  ownerAt(time: QuotaTime): string | undefined {
    return this.isFree(time) ? undefined : this.boundTo?.nodeId;
  }

  /** True if no owner counts this host. */
  isFree({steadyMs}: QuotaTime): boolean {
    return steadyMs >= this.boundUntilMs;
  }

  /** Time in ms for which nobody has used this host's part. */
  private unusedMs({steadyMs}: QuotaTime): number {
    return Math.max(0, steadyMs - Math.max(this.boundUntilMs, this.usedMs));
  }

  /** Time in ms by the steady clock at which the host is free. */
  get freeAtMs(): number {
    return this.boundUntilMs;
  }

  hasTicket(nodeId: string, {steadyMs}: QuotaTime): boolean {
    const ticket = this.tickets.get(nodeId);
    return (
      ticket !== undefined &&
      steadyMs - ticket.receivedMs < this.terms.bindingMs
    );
  }

  /** Keeps the newest ticket of an owner. */
  addTicket(nodeId: string, grant: QuotaGrant, {steadyMs}: QuotaTime): void {
    const {owner, ticketMs} = grant;
    const known = this.tickets.get(nodeId);
    const isOlder =
      known &&
      (owner < known.owner ||
        (owner === known.owner && ticketMs <= known.ticketMs));
    if (isOlder) return;
    for (const {receivedMs, nodeId: id} of this.tickets.values()) {
      if (steadyMs - receivedMs >= this.terms.bindingMs) {
        this.tickets.delete(id);
      }
    }
    this.tickets.set(nodeId, {nodeId, owner, ticketMs, receivedMs: steadyMs});
  }

  /**
   * Returns the fields for an ask. It binds this host if it has a ticket of the
   * owner and is free or bound to it; otherwise it only requests a ticket.
   */
  fieldsFor(nodeId: string, time: QuotaTime): BindingFields {
    const ticket = this.tickets.get(nodeId);
    const isFree = this.isFree(time);
    const mayBind = isFree || this.boundTo?.nodeId === nodeId;
    if (!ticket || !mayBind || !this.hasTicket(nodeId, time)) {
      return NOT_BOUND;
    }
    const {owner, ticketMs, receivedMs} = ticket;
    const isSameProcess = this.boundTo?.owner === owner;
    // A restarted owner does not count this host, but its former process may
    // have lent rights for its part until then.
    if (!isFree && !isSameProcess) {
      return NOT_BOUND;
    }
    if (isFree) {
      this.binding++;
      this.freeMs = this.unusedMs(time);
      this.startStarter(time);
    }
    this.boundTo = {nodeId, owner};
    this.boundUntilMs = Math.max(
      this.boundUntilMs,
      receivedMs + this.terms.bindingMs,
    );
    const {binding, freeMs, starter} = this;
    return {owner, ticketMs, binding, freeMs, starter};
  }

  private startStarter({steadyMs}: QuotaTime): void {
    this.starter = steadyMs >= this.nextStarterMs;
    if (!this.starter) return;
    this.nextStarterMs = steadyMs + this.terms.starterIntervalMs;
  }

  /** The owner, in this incarnation, no longer counts this host. */
  end(nodeId: string, owner: number, {steadyMs}: QuotaTime): void {
    const {boundTo} = this;
    if (boundTo?.nodeId !== nodeId || boundTo.owner !== owner) return;
    this.boundUntilMs = Math.min(this.boundUntilMs, steadyMs);
  }

  /** The part of this host was used while it was free. */
  useFreeTime({steadyMs}: QuotaTime): void {
    this.usedMs = steadyMs;
  }
}
