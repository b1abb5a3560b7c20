/**
 * The membership protocol of one node as a deterministic state machine: inputs
 * are ticks, messages and local changes; outputs are messages to send and
 * events. It uses no socket, timer, clock or random source of its own.
 */

import type {RandomSource} from '@turmericmill/utils';
import {
  packMember,
  unpackUpdate,
  type MemberGossip,
  type MemberRecord,
  type PackedUpdate,
  type RegionSummary,
} from '@turmericmill/wire';

import {AntiEntropy} from './anti-entropy.js';
import {Dissemination} from './dissemination.js';
import {LocalHealth} from './local-health.js';
import {MemberUpdates} from './member-updates.js';
import {MembershipView} from './membership-view.js';
import type {
  Endpoint,
  MembershipCounters,
  MembershipEffect,
  MembershipInput,
  MembershipMessage,
  NodeIdentity,
} from './membership-types.js';
import {ProbeExchange} from './probe-exchange.js';
import {RegionDirectory} from './region-directory.js';
import {RegionExchange} from './region-exchange.js';
import {seedsOf} from './roles.js';
import {SeedContacts} from './seed-contacts.js';

/** Interval in ms at which `Membership` expects ticks. */
export const TICK_INTERVAL_MS = 100;

/** Interval in ms of removing tombstones and rechecking damped members. */
const HOUSEKEEPING_PERIOD_MS = 1_000;

export class Membership {
  readonly view: MembershipView;
  readonly regions = new RegionDirectory();
  readonly counters: MembershipCounters = {
    probesSent: 0,
    probesFailed: 0,
    suspicionsRaised: 0,
    condemned: 0,
    refuted: 0,
    pauses: 0,
    syncsSent: 0,
  };
  private readonly health = new LocalHealth();
  private readonly dissemination: Dissemination;
  private readonly updates: MemberUpdates;
  private readonly probes: ProbeExchange;
  private readonly antiEntropy: AntiEntropy;
  private readonly regionExchange: RegionExchange;
  private readonly seeds: SeedContacts;
  private nextHousekeepingAtMs: number;
  private isReplacementReported = false;

  constructor(
    private readonly identity: NodeIdentity,
    nowMs: number,
    random: RandomSource,
  ) {
    this.dissemination = new Dissemination(identity, nowMs);
    this.updates = new MemberUpdates(
      identity,
      this.dissemination,
      this.health,
      this.counters,
      nowMs,
    );
    this.view = new MembershipView(this.updates.table);
    this.probes = new ProbeExchange(
      this.updates,
      this.dissemination,
      this.health,
      this.counters,
      nowMs,
      random,
    );
    this.antiEntropy = new AntiEntropy(
      this.updates,
      this.regions,
      this.counters,
      nowMs,
      random,
    );
    this.regionExchange = new RegionExchange(
      identity,
      this.view,
      this.regions,
      nowMs,
      random,
    );
    this.seeds = new SeedContacts(nowMs, random);
    this.nextHousekeepingAtMs = nowMs + HOUSEKEEPING_PERIOD_MS;
  }

  /** This node's own record. */
  get own(): MemberRecord {
    return this.updates.ownRecord;
  }

  /** True once a peer of this region has sent its view. */
  get hasJoined(): boolean {
    return this.antiEntropy.hasJoined;
  }

  /** Factor by which this node's timeouts are extended; 1 when healthy. */
  get timeoutFactor(): number {
    return this.health.timeoutFactor;
  }

  handle(
    input: MembershipInput,
    nowMs: number,
    random: RandomSource,
  ): MembershipEffect[] {
    const effects = this.dispatch(input, nowMs, random);
    effects.push(...this.collectEffects(nowMs, random));
    return effects;
  }

  private dispatch(
    input: MembershipInput,
    nowMs: number,
    random: RandomSource,
  ): MembershipEffect[] {
    switch (input.type) {
      case 'tick':
        return this.onTick(nowMs, random);
      case 'message':
        return this.onMessage(input.message, input.from, nowMs, random);
      case 'servers-changed':
        this.updates.setServers(input.servers, nowMs);
        return [];
      case 'seeds':
        this.seeds.setEndpoints(input.endpoints, this.identity);
        return [];
      case 'leave':
        this.updates.leave(nowMs);
        return [];
    }
  }

  /** Collects the urgent updates and events that result from an input. */
  private collectEffects(
    nowMs: number,
    random: RandomSource,
  ): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    if (this.dissemination.isFlushDue(nowMs)) {
      const members = this.updates.otherEndpointsByDataCentre();
      effects.push(...this.dissemination.flush(nowMs, random, members));
    }
    if (this.updates.viewChanged) {
      this.updates.viewChanged = false;
      this.view.invalidate(nowMs);
      effects.push({type: 'view-changed'});
    }
    const by = this.updates.replacedBy;
    if (by && !this.isReplacementReported) {
      this.isReplacementReported = true;
      effects.push({type: 'identity-taken', by});
    }
    return effects;
  }

  private onTick(nowMs: number, random: RandomSource): MembershipEffect[] {
    if (this.own.status === 'left') return [];
    this.detectPause(nowMs);
    this.declareExpiredSuspectsDead(nowMs);
    const effects = this.updates.suspicions
      .takeVerificationsDue(nowMs)
      .flatMap(id => this.probes.verify(id));
    effects.push(...this.probes.tick(nowMs, random));
    effects.push(...this.antiEntropy.tick(nowMs, random));
    effects.push(...this.regionExchange.tick(nowMs, random, this.own));
    effects.push(...this.contactSeeds(nowMs, random));
    if (nowMs >= this.nextHousekeepingAtMs) {
      this.nextHousekeepingAtMs = nowMs + HOUSEKEEPING_PERIOD_MS;
      this.updates.expire(nowMs);
      if (this.view.refreshDamped(nowMs)) effects.push({type: 'view-changed'});
    }
    return effects;
  }

  private detectPause(nowMs: number): void {
    const pausedMs = this.health.tick(nowMs);
    if (pausedMs === 0) return;
    this.counters.pauses += 1;
    this.probes.reset();
    this.updates.suspicions.postpone(pausedMs);
  }

  private declareExpiredSuspectsDead(nowMs: number): void {
    const {suspicions} = this.updates;
    if (suspicions.size === 0) return;
    if (this.health.isIsolated(nowMs)) suspicions.postponeDue(nowMs);
    for (const {id, incarnation, source} of suspicions.takeExpired(nowMs)) {
      const mode = source === 'own-probe' ? 'announce' : 'relay';
      if (this.updates.applyStatus(id, incarnation, 'dead', nowMs, mode)) {
        this.counters.condemned += 1;
      }
    }
  }

  private contactSeeds(
    nowMs: number,
    random: RandomSource,
  ): MembershipEffect[] {
    const targets: Endpoint[] = [];
    const isMember = (endpoint: Endpoint) => this.isMemberEndpoint(endpoint);
    if (this.updates.isAlone) {
      if (this.seeds.isJoinDue(nowMs, random)) {
        targets.push(...this.seeds.joinTargets(random));
      }
    } else {
      this.seeds.recordJoin(nowMs);
      targets.push(...this.seeds.secondJoinTargets(nowMs, random, isMember));
    }
    const contact = this.seeds.contactTarget(nowMs, random, isMember);
    if (contact) targets.push(contact);
    const effects = targets.map(to => this.antiEntropy.sendDigest(to));
    if (this.seeds.isPersistDue(nowMs, random) && this.isSeed()) {
      const {address, port} = this.identity;
      effects.push({type: 'persist-seed', endpoint: {address, port}});
    }
    return effects;
  }

  private isMemberEndpoint({address, port}: Endpoint): boolean {
    return this.updates
      .otherEndpoints()
      .some(other => other.address === address && other.port === port);
  }

  private isSeed(): boolean {
    const {id, dataCentre} = this.identity;
    return seedsOf(this.view.aliveMembers(), dataCentre).includes(id);
  }

  private onMessage(
    message: MembershipMessage,
    from: Endpoint,
    nowMs: number,
    random: RandomSource,
  ): MembershipEffect[] {
    if (this.own.status === 'left') return [];
    this.health.recordMessage(nowMs);
    if (this.updates.isAlone && from.port > 0) this.seeds.addEndpoint(from);
    switch (message.type) {
      case 'probe':
        this.applyUpdates(message.body.from, message.body.updates, nowMs);
        return this.probes.onProbe(message.body, from);
      case 'probeRequest':
        this.applyUpdates(message.body.from, message.body.updates, nowMs);
        return this.probes.onProbeRequest(message.body, from, nowMs);
      case 'probeAck':
        this.applyUpdates(message.body.from, message.body.updates, nowMs);
        return this.probes.onProbeAck(message.body, nowMs);
      case 'memberGossip':
        return [
          ...this.onGossip(message.body, from, nowMs),
          ...this.onSummaries(message.body.regions, random),
        ];
      case 'memberDigest':
        return this.antiEntropy.onDigest(message.body, nowMs, random);
      case 'memberSync':
        return [
          ...this.antiEntropy.onSync(message.body, nowMs, random),
          ...this.onSummaries(message.body.regions, random),
        ];
    }
  }

  /**
   * Merges the updates of a push. A refutation goes to the sender at once: it
   * may be the node that will declare this one dead.
   */
  private onGossip(
    {from: sender, updates}: MemberGossip,
    from: Endpoint,
    nowMs: number,
  ): MembershipEffect[] {
    const {incarnation} = this.own;
    this.applyUpdates(sender, updates, nowMs);
    if (this.own.incarnation === incarnation) return [];
    const body = {from: this.own.id, updates: [packMember(this.own)]};
    const message = {type: 'memberGossip', body} as const;
    return [{type: 'send-datagram', to: from, message}];
  }

  private onSummaries(
    summaries: readonly RegionSummary[] | undefined,
    random: RandomSource,
  ): MembershipEffect[] {
    if (!summaries || summaries.length === 0) return [];
    const endpoints = this.updates.otherEndpoints();
    return this.regionExchange.onSummaries(summaries, random, endpoints);
  }

  /**
   * Merges updates. Ignores statuses of other members from a sender that is
   * considered dead: it may be unable to receive any messages.
   */
  private applyUpdates(
    sender: string,
    packedUpdates: readonly PackedUpdate[] | undefined,
    nowMs: number,
  ): void {
    for (const packedUpdate of packedUpdates ?? []) {
      const update = unpackUpdate(packedUpdate);
      if (!update) continue;
      const isAboutOther =
        update.type === 'status' && update.id !== this.own.id;
      if (isAboutOther && this.view.member(sender)?.status === 'dead') continue;
      this.updates.apply(update, nowMs);
    }
  }
}
