/**
 * The replica of a node: takes versions from pushes, fetches and its own relay
 * part, and gives them to others. The version never falls, whatever arrives.
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
import {FetchServer} from './fetch-server.js';
import {Fetcher} from './fetcher.js';
import {applyDelta, noVersion, wholeVersion} from './config-version.js';
import type {ConfigVersion} from './config-version.js';
import {SnapshotStaging, splitSnapshot} from './snapshot-parts.js';

/** Spread of the first fetches of starting nodes. */
const START_FETCH_SPREAD_MS = 100;

/** A version that was taken over. */
export interface Adopted {
  version: ConfigVersion;
  /** Null when the whole set was replaced. */
  writes: ResourceWrite[] | null;
  acceptedAtMs: number;
}

/** The replica of one node. */
export class Replica {
  private currentVersion: ConfigVersion = noVersion();
  private readonly history = new DeltaHistory();
  private readonly fetcher: Fetcher;
  private readonly server: FetchServer;
  private staging: SnapshotStaging | undefined;
  private wantsWhole = false;
  private exchangeAtMs: number;
  private readonly forwarded = new Map<string, number>();

  constructor(
    private readonly context: AgentContext,
    private readonly onAdopted: (adopted: Adopted) => void,
    nowMs: number,
  ) {
    const {random, timing} = context;
    this.fetcher = new Fetcher(random);
    this.server = new FetchServer(random);
    this.exchangeAtMs = nowMs + random.next() * timing.antiEntropyMs;
  }

  /** The newest version that this node holds whole. */
  get current(): ConfigVersion {
    return this.currentVersion;
  }

  /** Takes a version over if it is above the one held. */
  adopt(
    version: ConfigVersion,
    delta: ConfigDelta | undefined,
    acceptedAtMs: number,
  ): void {
    if (version.version <= this.currentVersion.version) return;
    this.currentVersion = version;
    if (delta) this.history.add(delta);
    else this.history.clear();
    this.staging = undefined;
    this.wantsWhole = false;
    recordKnownVersion(this.context, version.version);
    this.fetcher.reached(version.version);
    const writes = delta?.writes ?? null;
    this.onAdopted({version, writes, acceptedAtMs});
  }

  onHave(from: string, have: ConfigHave, nowMs: number): void {
    const {version, digest} = this.currentVersion;
    recordKnownVersion(this.context, Math.max(have.version, have.known));
    const isBehind = have.version < version && this.context.settled;
    if (have.ask || (isBehind && have.settled)) this.tell(from, false);
    if (!have.settled) return;
    if (have.version > version) {
      this.offer(from, have.version, nowMs);
    } else if (have.version === version && have.digest !== digest) {
      this.alarm(`version ${version} has another digest at node ${from}`);
    }
  }

  onDelta(from: string, delta: ConfigDelta, nowMs: number): void {
    recordKnownVersion(this.context, delta.to);
    this.forward(delta);
    this.fetcher.progress(from, nowMs);
    const applied = applyDelta(this.currentVersion, delta);
    if (applied.isOk()) {
      const trimmed = {...delta, from: this.currentVersion.version};
      this.adopt(applied.value, trimmed, delta.acceptedAtMs);
    } else if (applied.error === 'gap') {
      this.offer(from, delta.to, nowMs);
    } else if (applied.error === 'digest-mismatch') {
      this.alarm(`change to version ${delta.to} from ${from} does not fit`);
      this.wantsWhole = true;
      this.offer(from, delta.to, nowMs);
    }
  }

  onFetch(from: string, {have}: ConfigFetch, nowMs: number): void {
    if (!this.context.settled || this.currentVersion.version <= have) {
      this.tell(from, false);
      return;
    }
    const retryAfterMs = this.server.delayMs(nowMs);
    if (retryAfterMs > 0) {
      this.send(from, {type: 'configBusy', body: {retryAfterMs}});
      return;
    }
    const delta = have < 0 ? undefined : this.history.since(have);
    if (delta) {
      this.server.begin(writesBytes(delta.writes), nowMs);
      this.send(from, {type: 'configDelta', body: delta});
      return;
    }
    let bytes = 0;
    for (const body of splitSnapshot(this.currentVersion)) {
      bytes += writesBytes(body.writes);
      this.send(from, {type: 'configSnapshotPart', body});
    }
    this.server.begin(bytes, nowMs);
  }

  onSnapshotPart(from: string, part: ConfigSnapshotPart, nowMs: number): void {
    recordKnownVersion(this.context, part.version);
    if (part.version <= this.currentVersion.version) return;
    if (from !== this.fetcher.activePeer) return;
    this.fetcher.progress(from, nowMs);
    if (!this.staging?.matches(from, part)) {
      this.staging = SnapshotStaging.open(from, part);
    }
    const writes = this.staging?.add(part);
    if (!writes) return;
    this.staging = undefined;
    const whole = wholeVersion(part.version, part.digest, writes);
    if (whole.isOk()) {
      this.adopt(whole.value, undefined, nowMs);
      return;
    }
    this.alarm(`whole set of version ${part.version} from ${from} is damaged`);
    this.fetcher.reject(from, nowMs);
  }

  onBusy(from: string, {retryAfterMs}: ConfigBusy, nowMs: number): void {
    this.fetcher.busy(from, retryAfterMs, nowMs);
  }

  onPeerLost(peer: string, nowMs: number): void {
    this.fetcher.forget(peer, nowMs);
  }

  poll(nowMs: number): void {
    const peer = this.fetcher.poll(this.currentVersion.version, nowMs);
    if (peer !== undefined) {
      const have = this.wantsWhole ? -1 : this.currentVersion.version;
      this.send(peer, {type: 'configFetch', body: {have}});
    }
    if (nowMs >= this.exchangeAtMs) this.exchange(nowMs);
  }

  nextDeadlineMs(): number {
    return Math.min(this.exchangeAtMs, this.fetcher.nextDeadlineMs());
  }

  /** Pushes a change along the tree of this node. */
  push(delta: ConfigDelta): void {
    const {self} = this.context.topology;
    this.forward({...delta, root: self.id});
  }

  /** A starting node does not wait for pushes: it cannot serve before. */
  private offer(peer: string, version: number, nowMs: number): void {
    const {settled, timing} = this.context;
    const spreadMs = settled ? timing.fetchSpreadMs : START_FETCH_SPREAD_MS;
    this.fetcher.offer(peer, version, nowMs, spreadMs);
  }

  private exchange(nowMs: number): void {
    const {random, timing, topology, settled} = this.context;
    const spread = 0.5 + random.next();
    this.exchangeAtMs = nowMs + timing.antiEntropyMs * spread;
    if (!settled) return;
    const peer = random.pick(topology.partners);
    if (peer !== undefined) this.tell(peer, true);
  }

  /** Passes a push on, once for each root and version. */
  private forward(delta: ConfigDelta): void {
    const {root} = delta;
    if (root === undefined) return;
    if ((this.forwarded.get(root) ?? -1) >= delta.to) return;
    const {topology} = this.context;
    this.forwarded.set(root, delta.to);
    if (topology.dataCentreOf(root) !== topology.self.dataCentre) return;
    const children = topology.treeOf(root).childrenOf(topology.self.id);
    sendAll(this.context, children, {type: 'configDelta', body: delta});
  }

  private tell(to: string, ask: boolean): void {
    this.send(to, createHaveMessage(this.context, this.currentVersion, ask));
  }

  private send(to: string, message: Message): void {
    this.context.emit({type: 'send', to, message});
  }

  private alarm(message: string): void {
    this.context.emit({type: 'alarm', message});
  }
}
