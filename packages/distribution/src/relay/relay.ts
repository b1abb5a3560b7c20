/**
 * The relay role of a node. Reads the log while the node is a relay or has no
 * other source, releases versions once enough witnesses know of them, pushes
 * them to other nodes, and writes snapshots.
 */

import type {ConfigDelta} from '@turmericmill/wire';

import {
  createHaveMessage,
  recordKnownVersion,
  sendAll,
} from '../agent/context.js';
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

/** Delay after which a node that became a relay starts to read the log. */
export const ROLE_DELAY_MS = 500;

/** Time for which a node that is no longer a relay keeps reading the log. */
export const ROLE_LINGER_MS = 5_000;

/** Time without messages of a settled peer after which a node reads the log. */
const FALLBACK_MS = 10_000;
/** Upper bound of a random addition to `FALLBACK_MS`. */
const FALLBACK_JITTER_MS = 30_000;

/** The part of the relay that made a call to the log. */
type CallOwner = 'follower' | 'writer';

/** The relay role of one node. */
export class Relay {
  private readonly follower: LogFollower;
  private readonly writer: SnapshotWriter;
  private readonly gate = new WitnessGate();
  private readonly plan: PushPlan;
  private readonly calls = new Map<number, {owner: CallOwner; call: LogCall}>();
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

  /** The state of the fold; undefined until the end of the log is reached. */
  get foldState(): ConfigState | undefined {
    return this.follower.isAtEnd ? this.follower.state : undefined;
  }

  /** Schedules the start or stop of reading the log if the role changed. */
  onMembers(nowMs: number): void {
    const {topology, expectsPeers} = this.context;
    this.gate.removeDeparted(topology.witnesses());
    if (topology.isRelay) {
      this.stopAtMs = Infinity;
      if (!this.follower.isRunning && this.startAtMs === Infinity) {
        // A node without peers is its own relay. Nodes that are still joining
        // must not all read the log at the same time.
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

  /** If settled, postpones the fallback read: a settled peer is reachable. */
  onSettledPeer(nowMs: number): void {
    if (this.context.settled) this.fallbackAtMs = this.fallbackTime(nowMs);
  }

  /** Records the highest version that a peer knows of. */
  onKnownVersion(peer: string, version: number): void {
    this.gate.recordKnownVersion(peer, version);
  }

  /** Handles a push from another relay. */
  onPush(delta: ConfigDelta): void {
    this.plan.onOtherPush(delta.to, this.context.topology.rank);
  }

  onLogResult(callId: number, result: LogReply, nowMs: number): void {
    const logCall = this.calls.get(callId);
    if (!logCall) return;
    this.calls.delete(callId);
    if (logCall.owner === 'writer') {
      this.writer.onReply(result, this.snapshotSource(), nowMs);
      return;
    }
    const wasAtEnd = this.follower.isAtEnd;
    const progress = this.follower.onReply(logCall.call, result, nowMs);
    for (const message of progress.alarms) {
      this.context.emit({type: 'alarm', message});
    }
    this.handleVerdicts(progress.verdicts, wasAtEnd, nowMs);
  }

  poll(nowMs: number): void {
    this.updateReading(nowMs);
    this.callLog('follower', this.follower.poll(nowMs));
    if (this.follower.isAtEnd) {
      this.callLog('writer', this.writer.poll(this.snapshotSource(), nowMs));
    }
    const witnesses = this.context.topology.witnesses();
    const peersToQuery = this.gate.poll(witnesses, nowMs);
    const query = createHaveMessage(this.context, this.replica.current, true);
    sendAll(this.context, peersToQuery, query);
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
      this.follower.isAtEnd ? this.writer.nextDeadlineMs() : Infinity,
      this.gate.nextDeadlineMs(),
      this.plan.nextDeadlineMs(),
    );
  }

  private updateReading(nowMs: number): void {
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

  /** Stops reading, unless the node is a relay or has no other source. */
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

  private handleVerdicts(
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
    if (!this.follower.isAtEnd) return;
    const {version, digest, resources} = this.follower.state;
    recordKnownVersion(this.context, version);
    if (version > this.replica.current.version || accepted.length > 0) {
      const deltas = wasAtEnd ? accepted.map(item => toDelta(item, nowMs)) : [];
      const foldedVersion = {version, digest, resources};
      this.gate.offer(
        {version: foldedVersion, deltas, acceptedAtMs: nowMs},
        nowMs,
      );
    } else if (!this.gate.waitingCandidate) {
      this.onLogRead();
    }
  }

  private release(witnesses: Witnesses, nowMs: number): void {
    const {current} = this.replica;
    const candidate = this.gate.release(witnesses, current.version);
    if (!candidate) return;
    const {version, deltas, acceptedAtMs} = candidate;
    const {rank} = this.context.topology;
    const merged = mergeDeltas(deltas);
    const isApplicable = merged !== undefined && merged.from <= current.version;
    const delta = isApplicable ? {...merged, from: current.version} : undefined;
    this.replica.adopt(version, delta, acceptedAtMs);
    for (const item of deltas) this.plan.add(item, rank, nowMs);
    this.onLogRead();
  }

  private callLog(owner: CallOwner, call: LogCall | undefined): void {
    if (!call) return;
    const callId = this.nextCallId++;
    this.calls.set(callId, {owner, call});
    this.context.emit({type: 'log', callId, call});
  }

  private snapshotSource(): SnapshotSource {
    return {
      state: this.follower.state,
      earliest: this.follower.earliestOffset,
      isPrimary: this.context.topology.rank === 0,
    };
  }

  /**
   * The current version as the fold state after a gap; undefined if a newer
   * version is known to exist.
   */
  private bridgeState(): ConfigState | undefined {
    const {version, digest, resources} = this.replica.current;
    if (version < 0 || version < this.context.knownVersion) return undefined;
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
    return nowMs + FALLBACK_MS + random.next() * FALLBACK_JITTER_MS;
  }
}

function toDelta(verdict: AcceptedVerdict, nowMs: number): ConfigDelta {
  const {from, version, digest, writes} = verdict;
  return {from, to: version, digest, writes, acceptedAtMs: nowMs};
}
