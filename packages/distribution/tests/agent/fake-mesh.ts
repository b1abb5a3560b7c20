/**
 * Simulates a mesh of configuration agents on a queue of timed events, with
 * seeded loss, reordering and duplication of messages. It checks each version
 * that an agent enforces.
 */

import {referencesOf} from '@turmericmill/config';
import type {ResourceWrite} from '@turmericmill/config';
import {SeededRandom} from '@turmericmill/utils';
import type {VersionReport} from '@turmericmill/wire';

import {
  buildPublication,
  ConfigAgent,
  emptyConfigState,
  foldRecord,
} from '../../src/index.js';
import type {
  ConfigEffect,
  ConfigMessage,
  ConfigPeer,
  ConfigState,
  DistributionPreference,
  LogCall,
} from '../../src/index.js';
import {FakeLog} from './fake-log.js';

const LOG_POLL_MS = 5;

interface Event {
  atMs: number;
  run(): void;
}

interface RunningNode {
  peer: ConfigPeer;
  agent: ConfigAgent;
  /** Rises with each restart; events of earlier incarnations are dropped. */
  incarnation: number;
  pausedUntilMs: number;
}

export interface FakeMeshOptions {
  seed: number;
  dataCentres?: number;
  nodesPerDataCentre?: number;
  preference?: DistributionPreference;
}

export class FakeMesh {
  readonly log = new FakeLog();
  readonly violations: string[] = [];
  readonly alarms: string[] = [];
  readonly enforcedAtMs = new Map<string, Map<number, number>>();
  nowMs = 1_000_000;
  /** Probability that a message is lost. */
  lossRate = 0;
  /** Probability that a message is delivered twice. */
  duplicateRate = 0;
  /** Maximum additional delay of a message, which reorders messages. */
  maxJitterMs = 2;
  logDelayMs = 1;
  /** The only node whose reads of the log return; undefined for all nodes. */
  logReader: string | undefined;
  messageCount = 0;
  private readonly preference: DistributionPreference;
  private readonly random: SeededRandom;
  private readonly nodes = new Map<string, RunningNode>();
  private readonly peers: ConfigPeer[] = [];
  private readonly highestVersions = new Map<string, number>();
  private events: Event[] = [];
  private lastMessageId = 0;
  private readonly inFlight = new Set<number>();
  private isCut: (from: string, to: string) => boolean = () => false;
  private lastIncarnation = 0;
  private publishedCount = 0;
  private expectedState: ConfigState = emptyConfigState();

  constructor({
    seed,
    dataCentres = 3,
    nodesPerDataCentre = 8,
    preference,
  }: FakeMeshOptions) {
    this.random = new SeededRandom(seed);
    this.preference = preference ?? 'convergence';
    for (let d = 0; d < dataCentres; d++) {
      for (let n = 0; n < nodesPerDataCentre; n++) {
        const dataCentre = `dc${d}`;
        const id = `${dataCentre}-${n}`;
        this.peers.push({id, dataCentre, region: 'r'});
      }
    }
    for (const {id} of this.peers) this.start(id);
    this.updateMembers();
  }

  get ids(): string[] {
    return this.peers.map(peer => peer.id);
  }

  idsOf(dataCentre: string): string[] {
    return this.peers
      .filter(peer => peer.dataCentre === dataCentre)
      .map(peer => peer.id);
  }

  agentOf(id: string): ConfigAgent | undefined {
    return this.nodes.get(id)?.agent;
  }

  /** The nodes of a data centre that have read the log to its end. */
  relaysOf(dataCentre: string): string[] {
    return this.idsOf(dataCentre).filter(id => this.agentOf(id)?.foldState);
  }

  /** The state after the whole log. */
  expected(): ConfigState {
    const {bodies} = this.log.streamOf('config');
    while (this.expectedState.nextOffset < bodies.length) {
      const offset = this.expectedState.nextOffset;
      const body = bodies[offset] as string;
      this.expectedState = foldRecord(this.expectedState, {offset, body}).state;
    }
    return this.expectedState;
  }

  publish(team: string, writes: ResourceWrite[], base?: number): void {
    const publication = {
      id: `p${++this.publishedCount}`,
      team,
      author: 'tester',
      base: base ?? this.expected().version,
      writes,
    };
    const bodies = buildPublication(publication).unwrap();
    for (const body of bodies) this.log.append('config', body);
  }

  start(id: string): void {
    const peer = this.peers.find(item => item.id === id) as ConfigPeer;
    const random = new SeededRandom(this.random.nextInt(2 ** 31));
    const {preference, nowMs} = this;
    const agent = new ConfigAgent({
      self: peer,
      preference,
      expectsPeers: true,
      random,
      nowMs,
    });
    const incarnation = ++this.lastIncarnation;
    this.nodes.set(id, {peer, agent, incarnation, pausedUntilMs: 0});
    this.tick(id, incarnation);
  }

  kill(...ids: string[]): void {
    for (const id of ids) this.nodes.delete(id);
  }

  /** Pauses the node for `ms`; its events are handled afterwards. */
  pause(id: string, ms: number): void {
    const node = this.nodes.get(id);
    if (node) node.pausedUntilMs = this.nowMs + ms;
  }

  /** Drops the messages in flight. */
  dropInFlight(): void {
    this.inFlight.clear();
  }

  /** Drops every message for which `isCut` returns true. */
  partition(isCut: (from: string, to: string) => boolean): void {
    this.isCut = isCut;
  }

  heal(): void {
    this.isCut = () => false;
    this.lossRate = 0;
    this.duplicateRate = 0;
    this.maxJitterMs = 2;
    this.logDelayMs = 1;
    this.logReader = undefined;
    this.log.isDown = false;
  }

  /** Updates the list of live members on every node. */
  updateMembers(): void {
    const live = [...this.nodes.values()].map(node => node.peer);
    for (const {peer, agent} of this.nodes.values()) {
      this.applyEffects(peer.id, agent.onMembers(live, this.nowMs));
    }
  }

  run(ms: number): void {
    const endMs = this.nowMs + ms;
    for (;;) {
      const next = this.dequeueBefore(endMs);
      if (!next) break;
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
    }
    this.nowMs = endMs;
  }

  /** Runs until `condition` is true; returns false after `ms` without it. */
  runUntil(condition: () => boolean, ms: number): boolean {
    const endMs = this.nowMs + ms;
    while (!condition()) {
      if (this.nowMs >= endMs) return false;
      this.run(1);
    }
    return true;
  }

  /** Queries a node for the versions in force on all nodes. */
  fleetReportAt(id: string): VersionReport {
    const agent = this.agentOf(id) as ConfigAgent;
    this.applyEffects(id, agent.queryFleet(this.nowMs));
    this.run(50);
    return agent.fleetReport(this.nowMs);
  }

  /** The distinct versions of settled nodes, in ascending order. */
  versionsInForce(): number[] {
    const agents = this.ids.flatMap(id => this.agentOf(id) ?? []);
    const settled = agents.filter(agent => agent.settled);
    const versions = settled.map(agent => agent.version.version);
    return [...new Set(versions)].sort((a, b) => a - b);
  }

  /** Running nodes that are not settled at the expected version. */
  laggards(): string[] {
    const {version, digest} = this.expected();
    return this.ids.filter(id => {
      const agent = this.agentOf(id);
      if (!agent) return false;
      const same = agent.version.version === version;
      return !agent.settled || !same || agent.version.digest !== digest;
    });
  }

  private tick(id: string, incarnation: number): void {
    const node = this.nodes.get(id);
    if (node?.incarnation !== incarnation) return;
    const dueMs = Math.max(node.agent.nextDeadlineMs(), this.nowMs + 1);
    this.scheduleOn(Math.min(dueMs, this.nowMs + 50), id, incarnation, () => {
      if (node.agent.nextDeadlineMs() <= this.nowMs) {
        this.applyEffects(id, node.agent.onTimer(this.nowMs));
      }
      this.tick(id, incarnation);
    });
  }

  /** Schedules `action` on a node: delayed if paused, dropped if dead. */
  private scheduleOn(
    atMs: number,
    id: string,
    incarnation: number,
    action: () => void,
  ): void {
    const run = () => {
      const node = this.nodes.get(id);
      if (node?.incarnation !== incarnation) return;
      if (node.pausedUntilMs > this.nowMs) {
        this.scheduleOn(node.pausedUntilMs, id, incarnation, action);
      } else {
        action();
      }
    };
    this.enqueue({atMs, run});
  }

  private applyEffects(id: string, effects: ConfigEffect[]): void {
    const incarnation = this.nodes.get(id)?.incarnation ?? -1;
    for (const effect of effects) {
      if (effect.type === 'send') {
        this.send(id, effect.to, effect.message as ConfigMessage);
      } else if (effect.type === 'log') {
        this.callLog(id, incarnation, effect.callId, effect.call, effect.call);
      } else if (effect.type === 'enforce') {
        this.checkEnforced(id, effect);
        const {version} = effect.version;
        const agent = this.nodes.get(id)?.agent;
        this.applyEffects(id, agent?.onEnforced(version, this.nowMs) ?? []);
      } else if (effect.type === 'alarm') {
        this.alarms.push(`${id}: ${effect.message}`);
      }
    }
  }

  private send(from: string, to: string, message: ConfigMessage): void {
    this.messageCount++;
    const copies = 1 + Number(this.random.next() < this.duplicateRate);
    for (let copy = 0; copy < copies; copy++) {
      if (this.random.next() < this.lossRate || this.isCut(from, to)) continue;
      const delayMs = 1.5 + this.random.next() * this.maxJitterMs;
      const incarnation = this.nodes.get(to)?.incarnation ?? -1;
      const messageId = ++this.lastMessageId;
      this.inFlight.add(messageId);
      this.scheduleOn(this.nowMs + delayMs, to, incarnation, () => {
        if (!this.inFlight.delete(messageId)) return;
        const agent = this.nodes.get(to)?.agent;
        const body = structuredClone(message);
        const effects = agent?.onMessage(from, body, this.nowMs) ?? [];
        this.applyEffects(to, effects);
      });
    }
  }

  private callLog(
    id: string,
    incarnation: number,
    callId: number,
    call: LogCall,
    remaining: LogCall,
  ): void {
    this.scheduleOn(this.nowMs + this.logDelayMs, id, incarnation, () => {
      const isReader = this.logReader === undefined || this.logReader === id;
      const isWaiting =
        remaining.call === 'read' && this.log.wouldWait(remaining);
      if (remaining.call === 'read' && (isWaiting || !isReader)) {
        const waitMs = Math.max(0, remaining.waitMs - LOG_POLL_MS);
        const rest = {...remaining, waitMs};
        this.scheduleOn(this.nowMs + LOG_POLL_MS, id, incarnation, () => {
          this.callLog(id, incarnation, callId, call, rest);
        });
        return;
      }
      const reply = this.log.answer(call);
      const agent = this.nodes.get(id)?.agent;
      const effects = agent?.onLogResult(callId, reply, this.nowMs) ?? [];
      this.applyEffects(id, effects);
    });
  }

  private checkEnforced(
    id: string,
    {version}: Extract<ConfigEffect, {type: 'enforce'}>,
  ): void {
    const before = this.highestVersions.get(id) ?? -1;
    if (version.version < before) {
      this.violations.push(
        `${id} went back from ${before} to ${version.version}`,
      );
    }
    this.highestVersions.set(id, Math.max(before, version.version));
    const times = this.enforcedAtMs.get(id) ?? new Map<number, number>();
    times.set(version.version, this.nowMs);
    this.enforcedAtMs.set(id, times);
    for (const resource of version.resources.values()) {
      for (const key of referencesOf(resource)) {
        if (!version.resources.has(key)) {
          this.violations.push(
            `${id}: ${resource.key} refers to missing ${key}`,
          );
        }
      }
    }
  }

  private enqueue(event: Event): void {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.events[middle] as Event).atMs > event.atMs) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, event);
  }

  private dequeueBefore(endMs: number): Event | undefined {
    const last = this.events.at(-1);
    if (!last || last.atMs > endMs) return undefined;
    return this.events.pop();
  }
}
