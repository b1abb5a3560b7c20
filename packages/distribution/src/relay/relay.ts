/**
 * The relay part of a node: reads the log while the node is a relay or has no
 * other source, lets versions into force once they are witnessed, pushes them,
 * and writes snapshots.
 */

import type {ConfigDelta} from '@turmericmill/wire';

import {haveMessage, noteVersion, sendAll} from '../agent/context.js';
import type {AgentContext} from '../agent/context.js';
import {emptyHistory} from '../fold/change-history.js';
import type {ConfigState} from '../fold/config-state.js';
import type {AcceptedVerdict, Verdict} from '../fold/fold-record.js';
import {buildIndex} from '../fold/resource-index.js';
import {mergeDeltas} from '../replica/delta-history.js';
import type {Replica} from '../replica/replica.js';
import type {LogCall, LogReply} from './log-call.js';
import {LogFollower} from './log-follower.js';
import {PushPlan} from './push-plan.js';
import {SnapshotWriter} from './snapshot-writer.js';
import type {SnapshotSource} from './snapshot-writer.js';
import type {Witnesses} from './topology.js';
import {WitnessGate} from './witness-gate.js';

/** A relay reads the log once it has been a relay for so long. */
export const ROLE_DELAY_MS = 500;

/** A node that is no relay any more goes on reading for so long. */
export const ROLE_LINGER_MS = 5_000;

/** A node that hears of no settled peer reads the log after so long. */
const FALLBACK_MS = 10_000;
const FALLBACK_SPREAD_MS = 30_000;

/** Which part of the relay made a call to the log. */
type Caller = 'follower' | 'writer';

/** The relay part of one node. */
export class Relay {
  private readonly follower: LogFollower;
  private readonly writer: SnapshotWriter;
  private readonly gate = new WitnessGate();
  private readonly plan: PushPlan;
  private readonly calls = new Map<number, {by: Caller; call: LogCall}>();
  private nextCallId = 1;
  private startAtMs = Infinity;
  private stopAtMs = Infinity;
  private fallbackAtMs: number;

  constructor(
    private readonly context: AgentContext,
    private readonly replica: Replica,
    private readonly onLogRead: () => void,
    nowMs: number,
  ) {
    const {random, timing, topology} = context;
    const name = `${topology.self.id} ${nowMs}`;
    this.follower = new LogFollower(random, () => this.bridgeState(), name);
    this.writer = new SnapshotWriter(random, name);
    this.plan = new PushPlan(timing);
    this.fallbackAtMs = this.fallbackTime(nowMs);
  }

  /** The state of the fold while this node reads the log. */
  get foldState(): ConfigState | undefined {
    return this.follower.atEnd ? this.follower.state : undefined;
  }

  /** The members changed. */
  onMembers(nowMs: number): void {
    const {topology, expectsPeers} = this.context;
    this.gate.keepOnly(topology.witnesses());
    if (topology.isRelay) {
      this.stopAtMs = Infinity;
      if (!this.follower.isRunning && this.startAtMs === Infinity) {
        // A whole fleet that has yet to join must not read the log at once.
        const isJoining = expectsPeers && topology.partners.length === 0;
        if (!isJoining) this.startAtMs = nowMs + ROLE_DELAY_MS;
      }
      return;
    }
    this.startAtMs = Infinity;
    if (this.follower.isRunning && this.stopAtMs === Infinity) {
      this.stopAtMs = nowMs + ROLE_LINGER_MS;
    }
  }

  /** A settled peer was heard of, so that the log need not be read. */
  onSettledPeer(nowMs: number): void {
    if (this.context.settled) this.fallbackAtMs = this.fallbackTime(nowMs);
  }

  /** A peer told which versions it knows of. */
  onKnownVersion(peer: string, version: number): void {
    this.gate.note(peer, version);
  }

  /** A push of another relay arrived. */
  onPush(delta: ConfigDelta): void {
    this.plan.onOtherPush(delta.to, this.context.topology.rank);
  }

  onLogResult(callId: number, result: LogReply, nowMs: number): void {
    const made = this.calls.get(callId);
    if (!made) return;
    this.calls.delete(callId);
    if (made.by === 'writer') {
      this.writer.take(result, this.snapshotSource(), nowMs);
      return;
    }
    const wasAtEnd = this.follower.atEnd;
    const progress = this.follower.take(made.call, result, nowMs);
    for (const message of progress.alarms) {
      this.context.emit({type: 'alarm', message});
    }
    this.takeVerdicts(progress.verdicts, wasAtEnd, nowMs);
  }

  poll(nowMs: number): void {
    this.followRole(nowMs);
    this.call('follower', this.follower.poll(nowMs));
    if (this.follower.atEnd) {
      this.call('writer', this.writer.poll(this.snapshotSource(), nowMs));
    }
    const witnesses = this.context.topology.witnesses();
    const toAsk = this.gate.poll(witnesses, nowMs);
    const ask = haveMessage(this.context, this.replica.held, true);
    sendAll(this.context, toAsk, ask);
    this.release(witnesses, nowMs);
    const delta = this.plan.poll(nowMs);
    if (delta) this.replica.push(delta);
  }

  nextDeadlineMs(): number {
    return Math.min(
      this.startAtMs,
      this.stopAtMs,
      this.follower.isRunning ? Infinity : this.fallbackAtMs,
      this.follower.nextDeadlineMs(),
      this.follower.atEnd ? this.writer.nextDeadlineMs() : Infinity,
      this.gate.nextDeadlineMs(),
      this.plan.nextDeadlineMs(),
    );
  }

  private followRole(nowMs: number): void {
    if (nowMs >= this.startAtMs) {
      this.startAtMs = Infinity;
      this.follower.start();
    }
    if (nowMs >= this.fallbackAtMs && !this.follower.isRunning) {
      this.follower.start();
      this.stopAtMs = nowMs + ROLE_LINGER_MS;
      this.fallbackAtMs = this.fallbackTime(nowMs + ROLE_LINGER_MS);
    }
    if (nowMs >= this.stopAtMs) this.stopReading(nowMs);
  }

  /** Reading goes on for relays, and for nodes without another source. */
  private stopReading(nowMs: number): void {
    const {settled, topology} = this.context;
    const isNeeded = !settled || nowMs >= this.fallbackAtMs;
    if (topology.isRelay) this.stopAtMs = Infinity;
    else if (isNeeded) this.stopAtMs = nowMs + ROLE_LINGER_MS;
    else {
      this.stopAtMs = Infinity;
      this.follower.stop();
    }
  }

  private takeVerdicts(
    verdicts: readonly Verdict[],
    wasAtEnd: boolean,
    nowMs: number,
  ): void {
    const accepted: AcceptedVerdict[] = [];
    for (const verdict of verdicts) {
      if (verdict.status === 'accepted') accepted.push(verdict);
      else if (verdict.status === 'rejected') {
        this.context.emit({type: 'rejected', verdict});
      }
    }
    if (!this.follower.atEnd) return;
    const {version, digest, resources} = this.follower.state;
    noteVersion(this.context, version);
    if (version > this.replica.held.version || accepted.length > 0) {
      const deltas = wasAtEnd ? accepted.map(item => toDelta(item, nowMs)) : [];
      const candidate = {version, digest, resources};
      this.gate.offer({version: candidate, deltas, acceptedAtMs: nowMs}, nowMs);
    } else if (!this.gate.waiting) {
      this.onLogRead();
    }
  }

  private release(witnesses: Witnesses, nowMs: number): void {
    const {held} = this.replica;
    const candidate = this.gate.release(witnesses, held.version);
    if (!candidate) return;
    const {version, deltas, acceptedAtMs} = candidate;
    const {rank} = this.context.topology;
    const merged = mergeDeltas(deltas);
    const fits = merged !== undefined && merged.from <= held.version;
    const delta = fits ? {...merged, from: held.version} : undefined;
    this.replica.adopt(version, delta, acceptedAtMs);
    for (const item of deltas) this.plan.add(item, rank, nowMs);
    this.onLogRead();
  }

  private call(by: Caller, call: LogCall | undefined): void {
    if (!call) return;
    const callId = this.nextCallId++;
    this.calls.set(callId, {by, call});
    this.context.emit({type: 'log', callId, call});
  }

  private snapshotSource(): SnapshotSource {
    return {
      state: this.follower.state,
      earliest: this.follower.earliestOffset,
      isPrimary: this.context.topology.rank === 0,
    };
  }

  /** What this node holds, as the state to go on from after a gap. */
  private bridgeState(): ConfigState | undefined {
    const {version, digest, resources} = this.replica.held;
    if (version < 0 || version < this.context.known) return undefined;
    return {
      version,
      digest,
      resources,
      nextOffset: version + 1,
      history: {...emptyHistory(), horizon: version},
      index: buildIndex(resources.values()),
      pending: [],
    };
  }

  private fallbackTime(nowMs: number): number {
    const {random} = this.context;
    return nowMs + FALLBACK_MS + random.next() * FALLBACK_SPREAD_MS;
  }
}

function toDelta(verdict: AcceptedVerdict, nowMs: number): ConfigDelta {
  const {from, version, digest, writes} = verdict;
  return {from, to: version, digest, writes, acceptedAtMs: nowMs};
}
