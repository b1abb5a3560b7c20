/** Sends and answers probes, its own and those of others. */

import {hash32, type RandomSource} from '@turmericmill/utils';
import {
  packMember,
  packStatus,
  type MemberRecord,
  type PackedUpdate,
  type Probe,
  type ProbeAck,
  type ProbeRequest,
} from '@turmericmill/wire';

import type {Dissemination} from './dissemination.js';
import {ForwardedProbes} from './forwarded-probes.js';
import type {LocalHealth} from './local-health.js';
import type {MemberUpdates} from './member-updates.js';
import type {
  DatagramMessage,
  Endpoint,
  MembershipCounters,
  MembershipEffect,
} from './membership-types.js';
import {Prober, type ProbeAction, type ProbeTargets} from './prober.js';

type FailedProbe = Extract<ProbeAction, {type: 'failed'}>;

/** Members asked to probe another on this node's behalf. */
const HELPER_COUNT = 3;

export class ProbeExchange implements ProbeTargets {
  private readonly prober: Prober;
  private readonly forwarded = new ForwardedProbes();

  constructor(
    private readonly updates: MemberUpdates,
    private readonly dissemination: Dissemination,
    private readonly health: LocalHealth,
    private readonly counters: MembershipCounters,
    nowMs: number,
    random: RandomSource,
  ) {
    this.prober = new Prober(nowMs, random);
  }

  tick(nowMs: number, random: RandomSource): MembershipEffect[] {
    this.forwarded.expire(nowMs);
    const {factor} = this.health;
    const actions = this.prober.tick(nowMs, random, this, factor);
    return actions.flatMap(action => this.perform(action, nowMs, random));
  }

  /** Drops probes under way, after a pause of this process. */
  reset(): void {
    this.prober.reset();
  }

  onProbe(probe: Probe, from: Endpoint): MembershipEffect[] {
    const {id} = this.updates.ownRecord;
    if (probe.to !== hash32(id)) return [];
    const sender = this.updates.table.get(probe.from)?.record;
    const body = {seq: probe.seq, from: id, ...this.piggyback(sender)};
    return [datagram(from, {type: 'probeAck', body})];
  }

  onProbeRequest(
    req: ProbeRequest,
    from: Endpoint,
    nowMs: number,
  ): MembershipEffect[] {
    const target = this.updates.table.get(req.target)?.record;
    if (!target) return [];
    const seq = this.prober.takeSeq();
    this.forwarded.add(seq, from, req.seq, target.id, nowMs);
    return [this.probe(seq, target)];
  }

  onProbeAck(ack: ProbeAck, nowMs: number): MembershipEffect[] {
    const forwarded = this.forwarded.take(ack.seq, ack.from);
    if (forwarded) {
      const body = {seq: forwarded.requesterSeq, from: ack.from};
      return [datagram(forwarded.requester, {type: 'probeAck', body})];
    }
    const answer = this.prober.acknowledged(ack.seq, ack.from, nowMs);
    if (answer === 'in-time') this.health.succeeded();
    if (answer === 'late') {
      const roundTripMs = this.prober.expectedMs(ack.from, nowMs);
      this.updates.heardLate(ack.from, nowMs + roundTripMs);
    }
    return [];
  }

  successors(count: number): string[] {
    return this.updates.successors(count);
  }

  randomAlive(random: RandomSource): string | undefined {
    const candidates = this.candidates(({status}) => status === 'alive');
    return random.pick(candidates)?.id;
  }

  randomGone(random: RandomSource): string | undefined {
    const candidates = this.candidates(({status}) => status === 'dead');
    return random.pick(candidates)?.id;
  }

  private candidates(accepts: (record: MemberRecord) => boolean) {
    const {table, ownRecord} = this.updates;
    return Array.from(table.all(), entry => entry.record).filter(
      record => record.id !== ownRecord.id && accepts(record),
    );
  }

  private perform(
    action: ProbeAction,
    nowMs: number,
    random: RandomSource,
  ): MembershipEffect[] {
    const target = this.updates.table.get(action.target)?.record;
    if (!target) return [];
    switch (action.type) {
      case 'probe':
        this.counters.probesSent += 1;
        return [this.probe(action.seq, target)];
      case 'ask-helpers':
        return this.askHelpers(action.seq, target, random);
      case 'failed':
        return this.onFailure(target, action, nowMs);
    }
  }

  private onFailure(
    target: MemberRecord,
    {startedAtMs, expectedMs}: FailedProbe,
    nowMs: number,
  ): MembershipEffect[] {
    this.counters.probesFailed += 1;
    const trusted =
      this.health.exhausted || this.health.heardSince(startedAtMs);
    if (!trusted) {
      this.health.failedInSilence(startedAtMs, nowMs);
      return [];
    }
    if (!this.updates.suspect(target.id, expectedMs, nowMs)) return [];
    this.counters.suspicionsRaised += 1;
    return [this.accuse(target.id)];
  }

  /** Tells the suspect itself, so that it can refute at once. */
  private accuse(id: string): MembershipEffect {
    const record = this.updates.table.get(id)?.record as MemberRecord;
    const updates = [packStatus(record)];
    const body = {from: this.updates.ownRecord.id, updates};
    return datagram(record, {type: 'memberGossip', body});
  }

  private askHelpers(
    seq: number,
    target: MemberRecord,
    random: RandomSource,
  ): MembershipEffect[] {
    const others = this.candidates(
      ({id, status}) => status === 'alive' && id !== target.id,
    );
    const from = this.updates.ownRecord.id;
    const body = {seq, from, target: target.id};
    return random
      .sample(others, HELPER_COUNT)
      .map(helper => datagram(helper, {type: 'probeRequest', body}));
  }

  private probe(seq: number, target: MemberRecord): MembershipEffect {
    const from = this.updates.ownRecord.id;
    const to = hash32(target.id);
    const body = {seq, from, to, ...this.piggyback(target)};
    return datagram(target, {type: 'probe', body});
  }

  /** News for a datagram; first what the receiver may have to refute. */
  private piggyback(target?: MemberRecord): {updates?: PackedUpdate[]} {
    const memberCount = this.updates.otherEndpoints().length + 1;
    const updates = this.dissemination.piggyback(memberCount);
    if (target && target.status !== 'alive') {
      updates.unshift(packStatus(target));
      if (target.status !== 'suspect') {
        updates.push(packMember(this.updates.ownRecord));
      }
    }
    return updates.length > 0 ? {updates} : {};
  }
}

function datagram(to: Endpoint, message: DatagramMessage): MembershipEffect {
  const {address, port} = to;
  return {type: 'send-datagram', to: {address, port}, message};
}
