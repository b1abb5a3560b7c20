/**
 * A node's replica of the configuration. It receives versions from pushes,
 * fetches and the node's own relay, and sends them to other nodes. Its version
 * never decreases, whatever messages arrive.
 */

import type {ResourceWrite} from '@turmericmill/config';
import type {
  ConfigBusy,
  ConfigDelta,
  ConfigFetch,
  ConfigHave,
  ConfigSnapshotPart,
  Message,
} from '@turmericmill/wire';

import {
  createHaveMessage,
  recordKnownVersion,
  sendAll,
} from '../agent/context.js';
import type {AgentContext} from '../agent/context.js';
import {DeltaHistory, writesBytes} from './delta-history.js';
import {
  applyDelta,
  emptyVersion,
  versionFromSnapshot,
} from './config-version.js';
import type {ConfigVersion} from './config-version.js';
import {FetchLimiter} from './fetch-limiter.js';
import {Fetcher} from './fetcher.js';
import {SnapshotAssembler, splitSnapshot} from './snapshot-parts.js';

/** Maximum jitter of the first fetch of a starting node. */
const START_FETCH_JITTER_MS = 100;

/** A version that the replica adopted. */
export interface AdoptedVersion {
  version: ConfigVersion;
  /** Null if all resources were replaced. */
  writes: ResourceWrite[] | null;
  acceptedAtMs: number;
}

/** The replica of one node. */
export class Replica {
  private currentVersion: ConfigVersion = emptyVersion();
  private readonly history = new DeltaHistory();
  private readonly fetcher: Fetcher;
  private readonly fetchLimiter: FetchLimiter;
  private assembler: SnapshotAssembler | undefined;
  private needsSnapshot = false;
  private nextExchangeAtMs: number;
  private readonly forwardedVersions = new Map<string, number>();

  constructor(
    private readonly context: AgentContext,
    private readonly onAdopted: (adopted: AdoptedVersion) => void,
    nowMs: number,
  ) {
    const {random, timing} = context;
    this.fetcher = new Fetcher(random);
    this.fetchLimiter = new FetchLimiter(random);
    this.nextExchangeAtMs =
      nowMs + random.next() * timing.antiEntropyIntervalMs;
  }

  /** The newest version of which this node has all resources. */
  get current(): ConfigVersion {
    return this.currentVersion;
  }

  /** Adopts a version if it is above the current one. */
  adopt(
    version: ConfigVersion,
    delta: ConfigDelta | undefined,
    acceptedAtMs: number,
  ): void {
    if (version.version <= this.currentVersion.version) return;
    this.currentVersion = version;
    if (delta) this.history.add(delta);
    else this.history.clear();
    this.assembler = undefined;
    this.needsSnapshot = false;
    recordKnownVersion(this.context, version.version);
    this.fetcher.onVersionReached(version.version);
    const writes = delta?.writes ?? null;
    this.onAdopted({version, writes, acceptedAtMs});
  }

  onHave(from: string, have: ConfigHave, nowMs: number): void {
    const {version, digest} = this.currentVersion;
    recordKnownVersion(this.context, Math.max(have.version, have.known));
    const isBehind = have.version < version && this.context.settled;
    if (have.ask || (isBehind && have.settled)) this.sendHave(from, false);
    if (!have.settled) return;
    if (have.version > version) {
      this.addFetchSource(from, have.version, nowMs);
    } else if (have.version === version && have.digest !== digest) {
      this.emitAlarm(
        `version ${version} has a different digest at node ${from}`,
      );
    }
  }

  onDelta(from: string, delta: ConfigDelta, nowMs: number): void {
    recordKnownVersion(this.context, delta.to);
    this.forward(delta);
    this.fetcher.recordProgress(from, nowMs);
    const applied = applyDelta(this.currentVersion, delta);
    if (applied.isOk()) {
      const deltaFromCurrent = {...delta, from: this.currentVersion.version};
      this.adopt(applied.value, deltaFromCurrent, delta.acceptedAtMs);
    } else if (applied.error === 'gap') {
      this.addFetchSource(from, delta.to, nowMs);
    } else if (applied.error === 'digest-mismatch') {
      this.emitAlarm(
        `delta to version ${delta.to} from node ${from} gives a different digest`,
      );
      this.needsSnapshot = true;
      this.addFetchSource(from, delta.to, nowMs);
    }
  }

  onFetch(from: string, {have}: ConfigFetch, nowMs: number): void {
    if (!this.context.settled || this.currentVersion.version <= have) {
      this.sendHave(from, false);
      return;
    }
    const retryAfterMs = this.fetchLimiter.retryAfterMs(nowMs);
    if (retryAfterMs > 0) {
      this.send(from, {type: 'configBusy', body: {retryAfterMs}});
      return;
    }
    const delta = have < 0 ? undefined : this.history.since(have);
    if (delta) {
      this.fetchLimiter.recordTransfer(writesBytes(delta.writes), nowMs);
      this.send(from, {type: 'configDelta', body: delta});
      return;
    }
    let bytes = 0;
    for (const body of splitSnapshot(this.currentVersion)) {
      bytes += writesBytes(body.writes);
      this.send(from, {type: 'configSnapshotPart', body});
    }
    this.fetchLimiter.recordTransfer(bytes, nowMs);
  }

  onSnapshotPart(from: string, part: ConfigSnapshotPart, nowMs: number): void {
    recordKnownVersion(this.context, part.version);
    if (part.version <= this.currentVersion.version) return;
    if (from !== this.fetcher.activePeer) return;
    this.fetcher.recordProgress(from, nowMs);
    if (!this.assembler?.matches(from, part)) {
      this.assembler = SnapshotAssembler.create(from, part);
    }
    const writes = this.assembler?.add(part);
    if (!writes) return;
    this.assembler = undefined;
    const built = versionFromSnapshot(part.version, part.digest, writes);
    if (built.isOk()) {
      this.adopt(built.value, undefined, nowMs);
      return;
    }
    this.emitAlarm(
      `snapshot of version ${part.version} from ${from} fails its digest check`,
    );
    this.fetcher.rejectSource(from, nowMs);
  }

  onBusy(from: string, {retryAfterMs}: ConfigBusy, nowMs: number): void {
    this.fetcher.onBusy(from, retryAfterMs, nowMs);
  }

  onPeerLost(peer: string, nowMs: number): void {
    this.fetcher.removeSource(peer, nowMs);
  }

  poll(nowMs: number): void {
    const peer = this.fetcher.poll(this.currentVersion.version, nowMs);
    if (peer !== undefined) {
      const have = this.needsSnapshot ? -1 : this.currentVersion.version;
      this.send(peer, {type: 'configFetch', body: {have}});
    }
    if (nowMs >= this.nextExchangeAtMs) this.startExchange(nowMs);
  }

  nextDeadlineMs(): number {
    return Math.min(this.nextExchangeAtMs, this.fetcher.nextDeadlineMs());
  }

  /** Pushes a delta along the push tree that has this node as its root. */
  push(delta: ConfigDelta): void {
    const {self} = this.context.topology;
    this.forward({...delta, root: self.id});
  }

  /** A starting node cannot serve yet, so its fetches do not wait for pushes. */
  private addFetchSource(peer: string, version: number, nowMs: number): void {
    const {settled, timing} = this.context;
    const maxJitterMs = settled ? timing.fetchJitterMs : START_FETCH_JITTER_MS;
    this.fetcher.addSource(peer, version, nowMs, maxJitterMs);
  }

  private startExchange(nowMs: number): void {
    const {random, timing, topology, settled} = this.context;
    const factor = 0.5 + random.next();
    this.nextExchangeAtMs = nowMs + timing.antiEntropyIntervalMs * factor;
    if (!settled) return;
    const peer = random.pick(topology.partners);
    if (peer !== undefined) this.sendHave(peer, true);
  }

  /** Forwards a push to the children in its tree, once per root and version. */
  private forward(delta: ConfigDelta): void {
    const {root} = delta;
    if (root === undefined) return;
    if ((this.forwardedVersions.get(root) ?? -1) >= delta.to) return;
    const {topology} = this.context;
    this.forwardedVersions.set(root, delta.to);
    if (topology.dataCentreOf(root) !== topology.self.dataCentre) return;
    const children = topology.treeOf(root).childrenOf(topology.self.id);
    sendAll(this.context, children, {type: 'configDelta', body: delta});
  }

  private sendHave(to: string, ask: boolean): void {
    this.send(to, createHaveMessage(this.context, this.currentVersion, ask));
  }

  private send(to: string, message: Message): void {
    this.context.emit({type: 'send', to, message});
  }

  private emitAlarm(message: string): void {
    this.context.emit({type: 'alarm', message});
  }
}
