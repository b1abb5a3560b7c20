/**
 * Merges updates into the member table, disseminates those that change it, and
 * refutes wrong ones about this node itself.
 */

import {isDeepStrictEqual} from 'node:util';

import {
  packMember,
  packStatus,
  type MemberRecord,
  type MemberStatus,
  type MemberUpdate,
  type PackedUpdate,
  type ServerRecord,
} from '@turmericmill/wire';

import type {Dissemination, MembersByDataCentre} from './dissemination.js';
import type {LocalHealth} from './local-health.js';
import {MemberRing} from './member-ring.js';
import {isPresent, MemberTable, type MergeOutcome} from './member-table.js';
import type {
  Endpoint,
  MembershipCounters,
  NodeIdentity,
} from './membership-types.js';
import {Suspicions} from './suspicions.js';

/**
 * How updates are disseminated. `announce`: pushed at once in all data centres
 * and piggybacked, for updates that this node creates. `relay`: the same within
 * its own data centre, for updates that it receives. `piggyback`: piggybacked
 * only. `none`: not at all. A joining node uses `none` for the view it
 * received, as the other members have it already.
 */
export type PropagationMode = 'announce' | 'relay' | 'piggyback' | 'none';

export class MemberUpdates {
  readonly table = new MemberTable();
  readonly suspicions = new Suspicions();
  private readonly ring = new MemberRing();
  private isRingStale = true;
  private areEndpointsStale = true;
  private cachedEndpoints: Endpoint[] = [];
  private readonly cachedByDataCentre = new Map<string, Endpoint[]>();
  private own: MemberRecord;
  /** Set by each change of the table; reset by the owner once reported. */
  viewChanged = false;
  /** The record of a later process that uses this node's id. */
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

  /** Alive, unsuspected members that follow this node in the ring. */
  successors(count: number): string[] {
    if (this.isRingStale) this.rebuildRing();
    return this.ring.successors(this.own.id, count);
  }

  /** Endpoints of the other members that are alive or suspected. */
  otherEndpoints(): readonly Endpoint[] {
    this.refreshEndpoints();
    return this.cachedEndpoints;
  }

  /** The same by data centre. */
  otherEndpointsByDataCentre(): MembersByDataCentre {
    this.refreshEndpoints();
    return this.cachedByDataCentre;
  }

  /** The same within the data centre of this node. */
  localEndpoints(): readonly Endpoint[] {
    return this.otherEndpointsByDataCentre().get(this.own.dataCentre) ?? [];
  }

  private refreshEndpoints(): void {
    if (!this.areEndpointsStale) return;
    this.areEndpointsStale = false;
    this.cachedEndpoints = [];
    this.cachedByDataCentre.clear();
    for (const {record} of this.table.present()) {
      if (record.id === this.own.id) continue;
      this.cachedEndpoints.push(record);
      const endpoints = this.cachedByDataCentre.get(record.dataCentre);
      if (endpoints) endpoints.push(record);
      else this.cachedByDataCentre.set(record.dataCentre, [record]);
    }
  }

  get isAlone(): boolean {
    return this.otherEndpoints().length === 0;
  }

  /** Disseminates the servers of this node, if they have changed. */
  setServers(servers: ServerRecord[], nowMs: number): void {
    if (isDeepStrictEqual(servers, this.own.servers)) return;
    const revision = this.own.revision + 1;
    this.setOwn({...this.own, servers, revision}, nowMs);
  }

  leave(nowMs: number): void {
    this.setOwn({...this.own, status: 'left'}, nowMs);
  }

  /** Merges an update; true when it changed another member. */
  apply(
    update: MemberUpdate,
    nowMs: number,
    propagation: PropagationMode = 'relay',
  ): boolean {
    if (update.type === 'record') {
      return this.applyRecord(update.record, nowMs, propagation);
    }
    const {id, incarnation, status} = update;
    return this.applyStatus(id, incarnation, status, nowMs, propagation);
  }

  /** Merges a status that this node determined itself or received. */
  applyStatus(
    id: string,
    incarnation: number,
    status: MemberStatus,
    nowMs: number,
    propagation: PropagationMode,
  ): boolean {
    if (id === this.own.id) {
      this.refute(incarnation, status, nowMs);
      return false;
    }
    const outcome = this.table.mergeStatus(id, incarnation, status, nowMs);
    if (outcome) this.handleMerged(outcome, nowMs, propagation);
    return outcome !== undefined;
  }

  /** Disseminates this node's own record to members that may not have it. */
  announceOwn(): void {
    this.disseminate(packMember(this.own), 'announce');
  }

  /**
   * Suspects a member that did not acknowledge a probe by this node, and gives
   * it `rttMs` more to refute. Returns false if the member is not alive.
   */
  suspect(id: string, rttMs: number, nowMs: number): boolean {
    const record = this.table.get(id)?.record;
    if (record?.status !== 'alive') return false;
    const {incarnation} = record;
    const {timeoutFactor} = this.health;
    const fromMs = nowMs + rttMs;
    this.suspicions.start(id, incarnation, 'own-probe', timeoutFactor, fromMs);
    return this.applyStatus(id, incarnation, 'suspect', nowMs, 'announce');
  }

  /**
   * Extends the suspicion of a member that acknowledged a failed probe late.
   * The timeout starts at `fromMs`, when its refutation may arrive.
   */
  handleLateAck(id: string, fromMs: number): void {
    this.suspicions.extend(id, this.health.timeoutFactor, fromMs);
  }

  /** Removes expired tombstones. */
  expire(nowMs: number): void {
    if (this.table.removeExpired(nowMs) > 0) this.markChanged();
  }

  private applyRecord(
    record: MemberRecord,
    nowMs: number,
    propagation: PropagationMode,
  ): boolean {
    if (record.region !== this.own.region) return false;
    if (record.id === this.own.id) {
      this.applyOwnRecord(record, nowMs);
      return false;
    }
    const outcome = this.table.mergeRecord(record, nowMs);
    if (!outcome) return false;
    this.handleMerged(outcome, nowMs, propagation);
    const {entry, previousOwner} = outcome;
    if (previousOwner) {
      this.resolveEndpointConflict(entry.record, previousOwner.record, nowMs);
    }
    return true;
  }

  /** Declares dead the earlier started of two members at one endpoint. */
  private resolveEndpointConflict(
    a: MemberRecord,
    b: MemberRecord,
    nowMs: number,
  ): void {
    if (!isPresent(a.status) || !isPresent(b.status)) return;
    const older = a.incarnation < b.incarnation ? a : b;
    this.applyStatus(older.id, older.incarnation, 'dead', nowMs, 'relay');
  }

  private applyOwnRecord(record: MemberRecord, nowMs: number): void {
    const {address, port, incarnation} = this.own;
    const isElsewhere = record.address !== address || record.port !== port;
    if (isElsewhere && record.incarnation > incarnation) {
      this.replacedBy = record;
      return;
    }
    this.refute(record.incarnation, record.status, nowMs);
  }

  /**
   * Creates a newer incarnation of this node, which refutes a wrong status or
   * incarnation.
   */
  private refute(
    incarnation: number,
    status: MemberStatus,
    nowMs: number,
  ): void {
    if (this.own.status === 'left') return;
    const isConsistent =
      status === 'alive' && incarnation <= this.own.incarnation;
    if (isConsistent || incarnation < this.own.incarnation) return;
    this.counters.refuted += 1;
    this.setOwn({...this.own, incarnation: incarnation + 1}, nowMs);
  }

  private setOwn(record: MemberRecord, nowMs: number): void {
    this.own = record;
    const outcome = this.table.mergeRecord(record, nowMs);
    if (outcome) this.handleMerged(outcome, nowMs, 'announce');
  }

  private handleMerged(
    outcome: MergeOutcome,
    nowMs: number,
    propagation: PropagationMode,
  ): void {
    const {record, penalty} = outcome.entry;
    this.updateSuspicion(record, outcome.previousStatus, nowMs);
    this.markChanged();
    if (propagation === 'none') return;
    const needsRecord = outcome.detailsChanged || record.status === 'alive';
    const update = needsRecord ? packMember(record) : packStatus(record);
    this.disseminate(update, propagation, penalty.isDamped(nowMs));
  }

  private disseminate(
    update: PackedUpdate,
    propagation: PropagationMode,
    damped = false,
  ): void {
    const urgent = propagation !== 'piggyback' && !damped;
    this.dissemination.publish(update, urgent, propagation === 'announce');
  }

  private updateSuspicion(
    record: MemberRecord,
    previousStatus: MemberStatus | undefined,
    nowMs: number,
  ): void {
    const {id, incarnation, status} = record;
    if (status !== 'suspect') {
      const refuted = previousStatus === 'suspect' && status === 'alive';
      if (refuted && this.suspicions.isFromOwnProbe(id)) this.health.degrade();
      this.suspicions.clear(id);
      return;
    }
    const {timeoutFactor} = this.health;
    this.suspicions.start(id, incarnation, 'gossip', timeoutFactor, nowMs);
  }

  private rebuildRing(): void {
    this.isRingStale = false;
    const positions: [string, number][] = [];
    for (const {record, position} of this.table.all()) {
      if (record.status === 'alive') positions.push([record.id, position]);
    }
    this.ring.rebuild(positions);
  }

  private markChanged(): void {
    this.viewChanged = true;
    this.isRingStale = true;
    this.areEndpointsStale = true;
  }
}
