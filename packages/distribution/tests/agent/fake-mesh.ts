/**
 * Runs a few dozen configuration agents against a queue of timed events, with
 * seeded loss, reordering and repeats, and audits what they enforce.
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

interface Running {
  peer: ConfigPeer;
  agent: ConfigAgent;
  /** Grows with each restart; events of an earlier life are dropped. */
  life: number;
  pausedUntilMs: number;
}

export interface FakeMeshOptions {
  seed: number;
  dataCentres?: number;
  nodesEach?: number;
  preference?: DistributionPreference;
}

export class FakeMesh {
  readonly log = new FakeLog();
  readonly violations: string[] = [];
  readonly alarms: string[] = [];
  readonly enforcedAtMs = new Map<string, Map<number, number>>();
  nowMs = 1_000_000;
  /** Chance that a message is lost, and that it comes twice. */
  loss = 0;
  repeats = 0;
  /** Longest extra delay of a message; reorders messages. */
  spreadMs = 2;
  logDelayMs = 1;
  /** The only node that reaches the log; undefined for all of them. */
  logReader: string | undefined;
  messages = 0;
  private readonly preference: DistributionPreference;
  private readonly random: SeededRandom;
  private readonly nodes = new Map<string, Running>();
  private readonly peers: ConfigPeer[] = [];
  private readonly highest = new Map<string, number>();
  private events: Event[] = [];
  private flights = 0;
  private readonly inFlight = new Set<number>();
  private cut: (from: string, to: string) => boolean = () => false;
  private lives = 0;
  private published = 0;
  private reference: ConfigState = emptyConfigState();

  constructor({
    seed,
    dataCentres = 3,
    nodesEach = 8,
    preference,
  }: FakeMeshOptions) {
    this.random = new SeededRandom(seed);
    this.preference = preference ?? 'convergence';
    for (let d = 0; d < dataCentres; d++) {
      for (let n = 0; n < nodesEach; n++) {
        const dataCentre = `dc${d}`;
        const id = `${dataCentre}-${n}`;
        this.peers.push({id, dataCentre, region: 'r'});
      }
    }
    for (const {id} of this.peers) this.start(id);
    this.shareMembers();
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

  relaysOf(dataCentre: string): string[] {
    return this.idsOf(dataCentre).filter(id => this.agentOf(id)?.foldState);
  }

  /** The state that the whole log leads to. */
  expected(): ConfigState {
    const {bodies} = this.log.streamOf('config');
    while (this.reference.nextOffset < bodies.length) {
      const offset = this.reference.nextOffset;
      const body = bodies[offset] as string;
      this.reference = foldRecord(this.reference, {offset, body}).state;
    }
    return this.reference;
  }

  publish(team: string, writes: ResourceWrite[], base?: number): void {
    const publication = {
      id: `p${++this.published}`,
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
    const life = ++this.lives;
    this.nodes.set(id, {peer, agent, life, pausedUntilMs: 0});
    this.tick(id, life);
  }

  kill(...ids: string[]): void {
    for (const id of ids) this.nodes.delete(id);
  }

  /** The node does nothing for `ms` and then goes on with all it missed. */
  pause(id: string, ms: number): void {
    const node = this.nodes.get(id);
    if (node) node.pausedUntilMs = this.nowMs + ms;
  }

  /** Loses the messages that are under way. */
  dropInFlight(): void {
    this.inFlight.clear();
  }

  /** Loses all messages for which `cut` holds. */
  partition(cut: (from: string, to: string) => boolean): void {
    this.cut = cut;
  }

  heal(): void {
    this.cut = () => false;
    this.loss = 0;
    this.repeats = 0;
    this.spreadMs = 2;
    this.logDelayMs = 1;
    this.logReader = undefined;
    this.log.down = false;
  }

  /** Tells every node which nodes live. */
  shareMembers(): void {
    const live = [...this.nodes.values()].map(node => node.peer);
    for (const {peer, agent} of this.nodes.values()) {
      this.carryOut(peer.id, agent.onMembers(live, this.nowMs));
    }
  }

  run(ms: number): void {
    const endMs = this.nowMs + ms;
    for (;;) {
      const next = this.popBefore(endMs);
      if (!next) break;
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
    }
    this.nowMs = endMs;
  }

  /** Runs until `condition` holds; false when it does not within `ms`. */
  runUntil(condition: () => boolean, ms: number): boolean {
    const endMs = this.nowMs + ms;
    while (!condition()) {
      if (this.nowMs >= endMs) return false;
      this.run(1);
    }
    return true;
  }

  /** Asks a node for the versions in force, as an operator would. */
  fleetReportAt(id: string): VersionReport {
    const agent = this.agentOf(id) as ConfigAgent;
    this.carryOut(id, agent.queryFleet(this.nowMs));
    this.run(50);
    return agent.fleetReport(this.nowMs);
  }

  /** The different versions that settled nodes enforce. */
  versionsInForce(): number[] {
    const agents = this.ids.flatMap(id => this.agentOf(id) ?? []);
    const settled = agents.filter(agent => agent.settled);
    const versions = settled.map(agent => agent.version.version);
    return [...new Set(versions)].sort((a, b) => a - b);
  }

  /** Nodes that are not settled at the version expected. */
  laggards(): string[] {
    const {version, digest} = this.expected();
    return this.ids.filter(id => {
      const agent = this.agentOf(id);
      if (!agent) return false;
      const same = agent.version.version === version;
      return !agent.settled || !same || agent.version.digest !== digest;
    });
  }

  private tick(id: string, life: number): void {
    const node = this.nodes.get(id);
    if (node?.life !== life) return;
    const dueMs = Math.max(node.agent.nextDeadlineMs(), this.nowMs + 1);
    this.at(Math.min(dueMs, this.nowMs + 50), id, life, () => {
      if (node.agent.nextDeadlineMs() <= this.nowMs) {
        this.carryOut(id, node.agent.onTimer(this.nowMs));
      }
      this.tick(id, life);
    });
  }

  /** Runs `action` on a node, later if it is paused, never if it is dead. */
  private at(atMs: number, id: string, life: number, action: () => void): void {
    const run = () => {
      const node = this.nodes.get(id);
      if (node?.life !== life) return;
      if (node.pausedUntilMs > this.nowMs) {
        this.at(node.pausedUntilMs, id, life, action);
      } else {
        action();
      }
    };
    this.push({atMs, run});
  }

  private carryOut(id: string, effects: ConfigEffect[]): void {
    const life = this.nodes.get(id)?.life ?? -1;
    for (const effect of effects) {
      if (effect.type === 'send') {
        this.send(id, effect.to, effect.message as ConfigMessage);
      } else if (effect.type === 'log') {
        this.callLog(id, life, effect.callId, effect.call, effect.call);
      } else if (effect.type === 'enforce') {
        this.audit(id, effect);
        const {version} = effect.version;
        const agent = this.nodes.get(id)?.agent;
        this.carryOut(id, agent?.onEnforced(version, this.nowMs) ?? []);
      } else if (effect.type === 'alarm') {
        this.alarms.push(`${id}: ${effect.message}`);
      }
    }
  }

  private send(from: string, to: string, message: ConfigMessage): void {
    this.messages++;
    const copies = 1 + Number(this.random.next() < this.repeats);
    for (let copy = 0; copy < copies; copy++) {
      if (this.random.next() < this.loss || this.cut(from, to)) continue;
      const delayMs = 1.5 + this.random.next() * this.spreadMs;
      const life = this.nodes.get(to)?.life ?? -1;
      const inFlight = ++this.flights;
      this.inFlight.add(inFlight);
      this.at(this.nowMs + delayMs, to, life, () => {
        if (!this.inFlight.delete(inFlight)) return;
        const agent = this.nodes.get(to)?.agent;
        const body = structuredClone(message);
        const effects = agent?.onMessage(from, body, this.nowMs) ?? [];
        this.carryOut(to, effects);
      });
    }
  }

  private callLog(
    id: string,
    life: number,
    callId: number,
    call: LogCall,
    left: LogCall,
  ): void {
    this.at(this.nowMs + this.logDelayMs, id, life, () => {
      const isReader = this.logReader === undefined || this.logReader === id;
      const isWaiting = left.call === 'read' && this.log.hasNothingFor(left);
      if (left.call === 'read' && (isWaiting || !isReader)) {
        const waitMs = Math.max(0, left.waitMs - LOG_POLL_MS);
        const rest = {...left, waitMs};
        this.at(this.nowMs + LOG_POLL_MS, id, life, () => {
          this.callLog(id, life, callId, call, rest);
        });
        return;
      }
      const reply = this.log.answer(call);
      const agent = this.nodes.get(id)?.agent;
      const effects = agent?.onLogResult(callId, reply, this.nowMs) ?? [];
      this.carryOut(id, effects);
    });
  }

  private audit(
    id: string,
    {version}: Extract<ConfigEffect, {type: 'enforce'}>,
  ): void {
    const before = this.highest.get(id) ?? -1;
    if (version.version < before) {
      this.violations.push(`${id} fell from ${before} to ${version.version}`);
    }
    this.highest.set(id, Math.max(before, version.version));
    const times = this.enforcedAtMs.get(id) ?? new Map<number, number>();
    times.set(version.version, this.nowMs);
    this.enforcedAtMs.set(id, times);
    for (const resource of version.resources.values()) {
      for (const key of referencesOf(resource)) {
        if (!version.resources.has(key)) {
          this.violations.push(`${id} has ${resource.key} without ${key}`);
        }
      }
    }
  }

  private push(event: Event): void {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.events[middle] as Event).atMs > event.atMs) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, event);
  }

  private popBefore(endMs: number): Event | undefined {
    const last = this.events.at(-1);
    if (!last || last.atMs > endMs) return undefined;
    return this.events.pop();
  }
}
