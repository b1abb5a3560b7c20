/** Sends this node's probes, answers probes and forwards indirect ones. */

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

/** Number of members asked to probe a target on this node's behalf. */
const INDIRECT_PROBE_COUNT = 3;

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
    const {timeoutFactor} = this.health;
    const actions = this.prober.tick(nowMs, random, this, timeoutFactor);
    return actions.flatMap(action => this.performAction(action, nowMs, random));
  }

  /**
   * Probes a member that others suspect. Its ack brings the refutation; if there
   * is none, the suspicion stands.
   */
  verify(id: string): MembershipEffect[] {
    const target = this.updates.table.get(id)?.record;
    return target ? [this.probe(this.prober.allocateSeq(), target)] : [];
  }

  /** Drops pending probes and RTTs after a pause of this process. */
  reset(): void {
    this.prober.reset();
  }

  onProbe(probe: Probe, from: Endpoint): MembershipEffect[] {
    const {id} = this.updates.ownRecord;
    if (probe.to !== hash32(id)) return [];
    const sender = this.updates.table.get(probe.from)?.record;
    const {updates = []} = this.piggyback(sender);
    if (isAbout(id, probe.updates) && !isAbout(id, updates)) {
      // The prober may have missed the refutation of what it sent.
      updates.push(packMember(this.updates.ownRecord));
    }
    const body = {
      seq: probe.seq,
      from: id,
      ...(updates.length > 0 && {updates}),
    };
    return [datagram(from, {type: 'probeAck', body})];
  }

  onProbeRequest(
    req: ProbeRequest,
    from: Endpoint,
    nowMs: number,
  ): MembershipEffect[] {
    const target = this.updates.table.get(req.target)?.record;
    if (!target) return [];
    const seq = this.prober.allocateSeq();
    this.forwarded.add(seq, from, req.seq, target.id, nowMs);
    return [this.probe(seq, target)];
  }

  onProbeAck(ack: ProbeAck, nowMs: number): MembershipEffect[] {
    const forwarded = this.forwarded.remove(ack.seq, ack.from);
    if (forwarded) {
      const body = {seq: forwarded.requesterSeq, from: ack.from};
      return [datagram(forwarded.requester, {type: 'probeAck', body})];
    }
    const timeliness = this.prober.handleAck(ack.seq, ack.from, nowMs);
    if (timeliness === 'in-time') this.health.recordSuccess();
    if (timeliness === 'late') {
      const rttMs = this.prober.expectedRttMs(ack.from, nowMs);
      this.updates.handleLateAck(ack.from, nowMs + rttMs);
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

  randomDead(random: RandomSource): string | undefined {
    const candidates = this.candidates(({status}) => status === 'dead');
    return random.pick(candidates)?.id;
  }

  private candidates(accepts: (record: MemberRecord) => boolean) {
    const {table, ownRecord} = this.updates;
    return Array.from(table.all(), entry => entry.record).filter(
      record => record.id !== ownRecord.id && accepts(record),
    );
  }

  private performAction(
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
      case 'request-indirect':
        return this.requestIndirectProbes(action.seq, target, random);
      case 'failed':
        return this.onProbeFailed(target, action, nowMs);
    }
  }

  private onProbeFailed(
    target: MemberRecord,
    {startedAtMs, expectedRttMs}: FailedProbe,
    nowMs: number,
  ): MembershipEffect[] {
    this.counters.probesFailed += 1;
    const isReliable =
      this.health.hasMaxScore || this.health.hasReceivedSince(startedAtMs);
    if (!isReliable) {
      this.health.recordIsolatedFailure(startedAtMs, nowMs);
      return [];
    }
    if (!this.updates.suspect(target.id, expectedRttMs, nowMs)) return [];
    this.counters.suspicionsRaised += 1;
    return [this.notifySuspect(target.id)];
  }

  /** Sends the suspicion to the suspect, so that it can refute at once. */
  private notifySuspect(id: string): MembershipEffect {
    const record = this.updates.table.get(id)?.record as MemberRecord;
    const updates = [packStatus(record)];
    const body = {from: this.updates.ownRecord.id, updates};
    return datagram(record, {type: 'memberGossip', body});
  }

  private requestIndirectProbes(
    seq: number,
    target: MemberRecord,
    random: RandomSource,
  ): MembershipEffect[] {
    const candidates = this.candidates(
      ({id, status}) => status === 'alive' && id !== target.id,
    );
    const from = this.updates.ownRecord.id;
    const body = {seq, from, target: target.id};
    return random
      .sample(candidates, INDIRECT_PROBE_COUNT)
      .map(member => datagram(member, {type: 'probeRequest', body}));
  }

  private probe(seq: number, target: MemberRecord): MembershipEffect {
    const from = this.updates.ownRecord.id;
    const to = hash32(target.id);
    const body = {seq, from, to, ...this.piggyback(target)};
    return datagram(target, {type: 'probe', body});
  }

  /**
   * Updates to piggyback on a datagram. The receiver's own status, which it may
   * have to refute, comes first.
   */
  private piggyback(target?: MemberRecord): {updates?: PackedUpdate[]} {
    const memberCount = this.updates.localEndpoints().length + 1;
    const dataCentre = target?.dataCentre ?? '';
    const updates = this.dissemination.piggyback(dataCentre, memberCount);
    if (target && target.status !== 'alive') {
      updates.unshift(packStatus(target));
      if (target.status !== 'suspect') {
        updates.push(packMember(this.updates.ownRecord));
      }
    }
    return updates.length > 0 ? {updates} : {};
  }
}

/** True if one of the updates is about the member. */
function isAbout(id: string, updates: readonly PackedUpdate[] = []): boolean {
  return updates.some(update => Array.isArray(update) && update[0] === id);
}

function datagram(to: Endpoint, message: DatagramMessage): MembershipEffect {
  const {address, port} = to;
  return {type: 'send-datagram', to: {address, port}, message};
}
