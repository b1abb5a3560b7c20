/**
 * Merges word of members into the table, passes on what is new, and answers
 * back when it concerns this node itself.
 */

import {
  packMember,
  packStatus,
  type MemberRecord,
  type MemberStatus,
  type MemberUpdate,
  type ServerRecord,
} from '@turmericmill/wire';

import type {Dissemination} from './dissemination.js';
import type {LocalHealth} from './local-health.js';
import {MemberRing} from './member-ring.js';
import {isPresent, MemberTable, type MergeOutcome} from './member-table.js';
import type {
  Endpoint,
  MembershipCounters,
  NodeIdentity,
} from './membership-types.js';
import {Suspicions} from './suspicions.js';

/** How news are passed on; `not` for what the others have told a joiner. */
export type SpreadMode = 'at-once' | 'on-probes' | 'not';

export class MemberUpdates {
  readonly table = new MemberTable();
  readonly suspicions = new Suspicions();
  private readonly ring = new MemberRing();
  private ringStale = true;
  private endpointsStale = true;
  private cachedEndpoints: Endpoint[] = [];
  private own: MemberRecord;
  /** Set by a change that the view's readers have to hear of. */
  changed = false;
  /** A later process that runs under this node's id. */
  replacedBy: MemberRecord | undefined;

  constructor(
    identity: NodeIdentity,
    private readonly dissemination: Dissemination,
    private readonly health: LocalHealth,
    private readonly counters: MembershipCounters,
    nowMs: number,
  ) {
    this.own = {...identity, status: 'alive', servers: [], revision: 0};
    this.setOwn(this.own, nowMs);
  }

  get ownRecord(): MemberRecord {
    return this.own;
  }

  /** Members that follow this node in the ring and are not suspected. */
  successors(count: number): string[] {
    if (this.ringStale) this.rebuildRing();
    return this.ring.successors(this.own.id, count);
  }

  /** Endpoints of the other members that may be there. */
  otherEndpoints(): readonly Endpoint[] {
    if (this.endpointsStale) {
      this.endpointsStale = false;
      const present = [...this.table.present()].map(entry => entry.record);
      this.cachedEndpoints = present.filter(({id}) => id !== this.own.id);
    }
    return this.cachedEndpoints;
  }

  get isAlone(): boolean {
    return this.otherEndpoints().length === 0;
  }

  setServers(servers: ServerRecord[], nowMs: number): void {
    const revision = this.own.revision + 1;
    this.setOwn({...this.own, servers, revision}, nowMs);
  }

  leave(nowMs: number): void {
    this.setOwn({...this.own, status: 'left'}, nowMs);
  }

  /** Merges one piece of news; true when it was new. */
  apply(
    update: MemberUpdate,
    nowMs: number,
    spread: SpreadMode = 'at-once',
  ): boolean {
    if (update.type === 'record') {
      return this.applyRecord(update.record, nowMs, spread);
    }
    const {id, incarnation, status} = update;
    return this.applyStatus(id, incarnation, status, nowMs);
  }

  /** Merges word of a status, be it this node's own finding or hearsay. */
  applyStatus(
    id: string,
    incarnation: number,
    status: MemberStatus,
    nowMs: number,
  ): boolean {
    if (id === this.own.id) {
      this.refute(incarnation, status, nowMs);
      return false;
    }
    const outcome = this.table.mergeStatus(id, incarnation, status, nowMs);
    if (outcome) this.settle(outcome, nowMs);
    return outcome !== undefined;
  }

  /**
   * Suspects an alive member after a failed probe of this node's own. The
   * member is given `roundTripMs` more to refute.
   */
  suspect(id: string, roundTripMs: number, nowMs: number): boolean {
    const record = this.table.get(id)?.record;
    if (record?.status !== 'alive') return false;
    const {incarnation} = record;
    const {factor} = this.health;
    const fromMs = nowMs + roundTripMs;
    this.suspicions.start(id, incarnation, 'own-probe', factor, fromMs);
    return this.applyStatus(id, incarnation, 'suspect', nowMs);
  }

  /**
   * A member answered a probe that had been taken for failed; its answer to the
   * accusation may be here at `refutesByMs`.
   */
  heardLate(id: string, refutesByMs: number): void {
    this.suspicions.renew(id, this.health.factor, refutesByMs);
  }

  /** Forgets what has expired. */
  expire(nowMs: number): void {
    if (this.table.forgetExpired(nowMs) > 0) this.markChanged();
  }

  private applyRecord(
    record: MemberRecord,
    nowMs: number,
    spread: SpreadMode,
  ): boolean {
    if (record.region !== this.own.region) return false;
    if (record.id === this.own.id) {
      this.applyOwnRecord(record, nowMs);
      return false;
    }
    const outcome = this.table.mergeRecord(record, nowMs);
    if (!outcome) return false;
    this.settle(outcome, nowMs, spread);
    const {entry, formerHolder} = outcome;
    if (formerHolder) {
      this.resolveEndpoint(entry.record, formerHolder.record, nowMs);
    }
    return true;
  }

  /** Of two members at one endpoint the one that started first is gone. */
  private resolveEndpoint(
    a: MemberRecord,
    b: MemberRecord,
    nowMs: number,
  ): void {
    if (!isPresent(a.status) || !isPresent(b.status)) return;
    const older = a.incarnation < b.incarnation ? a : b;
    this.applyStatus(older.id, older.incarnation, 'dead', nowMs);
  }

  private applyOwnRecord(record: MemberRecord, nowMs: number): void {
    const {address, port, incarnation} = this.own;
    const elsewhere = record.address !== address || record.port !== port;
    if (elsewhere && record.incarnation > incarnation) {
      this.replacedBy = record;
      return;
    }
    this.refute(record.incarnation, record.status, nowMs);
  }

  /** Answers word against this node with a newer incarnation. */
  private refute(
    incarnation: number,
    status: MemberStatus,
    nowMs: number,
  ): void {
    if (this.own.status === 'left') return;
    const harmless = status === 'alive' && incarnation <= this.own.incarnation;
    if (harmless || incarnation < this.own.incarnation) return;
    this.counters.refuted += 1;
    this.setOwn({...this.own, incarnation: incarnation + 1}, nowMs);
  }

  private setOwn(record: MemberRecord, nowMs: number): void {
    this.own = record;
    const outcome = this.table.mergeRecord(record, nowMs);
    if (outcome) this.settle(outcome, nowMs);
  }

  private settle(
    outcome: MergeOutcome,
    nowMs: number,
    spread: SpreadMode = 'at-once',
  ): void {
    const {record, penalty} = outcome.entry;
    this.followStatus(record, outcome.before, nowMs);
    this.markChanged();
    if (spread === 'not') return;
    const whole = outcome.detailsChanged || record.status === 'alive';
    const update = whole ? packMember(record) : packStatus(record);
    const urgent = spread === 'at-once' && !penalty.isDamped(nowMs);
    this.dissemination.publish(update, urgent);
  }

  private followStatus(
    record: MemberRecord,
    before: MemberStatus | undefined,
    nowMs: number,
  ): void {
    const {id, incarnation, status} = record;
    if (status !== 'suspect') {
      const refuted = before === 'suspect' && status === 'alive';
      if (refuted && this.suspicions.isOwnFinding(id)) this.health.raise();
      this.suspicions.clear(id);
      return;
    }
    const {factor} = this.health;
    this.suspicions.start(id, incarnation, 'hearsay', factor, nowMs);
  }

  private rebuildRing(): void {
    this.ringStale = false;
    const positions: [string, number][] = [];
    for (const {record, position} of this.table.all()) {
      if (record.status === 'alive') positions.push([record.id, position]);
    }
    this.ring.rebuild(positions);
  }

  private markChanged(): void {
    this.changed = true;
    this.ringStale = true;
    this.endpointsStale = true;
  }
}
