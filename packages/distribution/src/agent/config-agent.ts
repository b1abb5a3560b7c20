/**
 * The configuration decisions of one node. Every input returns the effects to
 * carry out; there is no socket, clock or timer inside.
 */

import type {RandomSource} from '@turmericmill/utils';
import type {VersionReport} from '@turmericmill/wire';

import type {ConfigState} from '../fold/config-state.js';
import type {LogReply} from '../relay/log-call.js';
import {Relay} from '../relay/relay.js';
import {Topology} from '../relay/topology.js';
import type {ConfigPeer} from '../relay/topology.js';
import type {ConfigVersion} from '../replica/config-version.js';
import {Readiness} from '../replica/readiness.js';
import type {StartState} from '../replica/readiness.js';
import {Replica} from '../replica/replica.js';
import type {AdoptedVersion} from '../replica/replica.js';
import {VersionReporter} from '../report/version-reporter.js';
import {createHaveMessage, sendAll} from './context.js';
import type {AgentContext} from './context.js';
import type {ConfigEffect} from './effects.js';
import {isWellFormed} from './message-checks.js';
import type {ConfigMessage} from './message-checks.js';
import {DISTRIBUTION_TIMING} from './preference.js';
import type {DistributionPreference} from './preference.js';

/** What an agent is told at its start. */
export interface ConfigAgentOptions {
  self: ConfigPeer;
  preference: DistributionPreference;
  /** Whether the node has others to join. */
  expectsPeers: boolean;
  random: RandomSource;
  nowMs: number;
}

/** Least time between two questions to the report root. */
const FLEET_QUERY_MS = 100;

/** A report root's answer is shown for so long. */
const FLEET_TTL_MS = 5000;

/** The configuration decisions of one node. */
export class ConfigAgent {
  private effects: ConfigEffect[] = [];
  private readonly context: AgentContext;
  private readonly replica: Replica;
  private readonly relay: Relay;
  private readonly readiness: Readiness;
  private readonly reporter: VersionReporter;
  private fleet: {report: VersionReport; expiresAtMs: number} | undefined;
  private fleetQueryAtMs = 0;
  private knowsMembers = false;

  constructor(options: ConfigAgentOptions) {
    const {self, preference, expectsPeers, random, nowMs} = options;
    const timing = DISTRIBUTION_TIMING[preference];
    this.context = {
      timing,
      random,
      expectsPeers,
      topology: new Topology(self, []),
      settled: false,
      knownVersion: -1,
      emit: effect => this.effects.push(effect),
    };
    const onAdopted = (adopted: AdoptedVersion) => this.onAdopted(adopted);
    this.replica = new Replica(this.context, onAdopted, nowMs);
    const onLogRead = () => this.readiness.onLogRead();
    this.relay = new Relay(this.context, this.replica, onLogRead, nowMs);
    this.readiness = new Readiness(random, nowMs);
    this.reporter = new VersionReporter(timing, nowMs);
    this.onMembers([], nowMs);
  }

  /** Whether the node may serve. */
  get settled(): boolean {
    return this.context.settled;
  }

  get startState(): StartState {
    return this.readiness.startState;
  }

  /** The newest version held whole; in force once the node is settled. */
  get version(): ConfigVersion {
    return this.replica.current;
  }

  /** Highest version heard of. */
  get knownVersion(): number {
    return this.context.knownVersion;
  }

  /** The state of the fold, on nodes that read the log. */
  get foldState(): ConfigState | undefined {
    return this.relay.foldState;
  }

  /** The live members changed; `peers` may hold this node itself. */
  onMembers(peers: readonly ConfigPeer[], nowMs: number): ConfigEffect[] {
    const {self} = this.context.topology;
    if (this.context.topology.hasSameMembers(peers) && this.knowsMembers) {
      return this.advance(nowMs);
    }
    this.knowsMembers = true;
    const topology = new Topology(self, peers);
    this.context.topology = topology;
    this.readiness.setWitnesses(topology.witnesses(), topology.isRelay);
    this.reporter.removeDeparted(topology);
    this.relay.onMembers(nowMs);
    return this.advance(nowMs);
  }

  /** A message of another node. Malformed ones are dropped. */
  onMessage(
    from: string,
    message: ConfigMessage,
    nowMs: number,
  ): ConfigEffect[] {
    if (isWellFormed(message)) this.dispatch(from, message, nowMs);
    return this.advance(nowMs);
  }

  /** The result of the call to the log with this id. */
  onLogResult(callId: number, result: LogReply, nowMs: number): ConfigEffect[] {
    this.relay.onLogResult(callId, result, nowMs);
    return this.advance(nowMs);
  }

  /** The connection with a node was lost. */
  onPeerLost(peer: string, nowMs: number): ConfigEffect[] {
    this.replica.onPeerLost(peer, nowMs);
    return this.advance(nowMs);
  }

  /** The task has swapped a version in, which is reported from now on. */
  onEnforced(version: number, nowMs: number): ConfigEffect[] {
    this.reporter.setVersion(version, nowMs);
    return this.advance(nowMs);
  }

  /** Time passed; due at `nextDeadlineMs` at the latest. */
  onTimer(nowMs: number): ConfigEffect[] {
    return this.advance(nowMs);
  }

  nextDeadlineMs(): number {
    return Math.min(
      this.replica.nextDeadlineMs(),
      this.relay.nextDeadlineMs(),
      this.readiness.nextDeadlineMs(),
      this.reporter.nextDeadlineMs(),
    );
  }

  /** Asks the report root for what `fleetReport` will return. */
  queryFleet(nowMs: number): ConfigEffect[] {
    const {topology} = this.context;
    const root = topology.reportRootOf(topology.self.dataCentre);
    if (root === undefined || root === topology.self.id) return [];
    if (nowMs < this.fleetQueryAtMs) return [];
    this.fleetQueryAtMs = nowMs + FLEET_QUERY_MS;
    const message = {type: 'fleetQuery', body: {atMs: nowMs}} as const;
    return [{type: 'send', to: root, message}];
  }

  /**
   * Versions in force everywhere, as far as the report root answered of late;
   * else of the nodes below this one.
   */
  fleetReport(nowMs: number): VersionReport {
    const {topology} = this.context;
    const {fleet} = this;
    if (fleet && fleet.expiresAtMs > nowMs) return fleet.report;
    return this.reporter.fleetReport(topology, nowMs);
  }

  private dispatch(from: string, message: ConfigMessage, nowMs: number): void {
    switch (message.type) {
      case 'configHave': {
        const {version, known, settled} = message.body;
        this.relay.onKnownVersion(from, Math.max(version, known));
        this.replica.onHave(from, message.body, nowMs);
        if (settled) this.onSettledPeer(from, Math.max(version, known), nowMs);
        break;
      }
      case 'configFetch':
        this.replica.onFetch(from, message.body, nowMs);
        break;
      case 'configDelta':
        this.relay.onPush(message.body);
        this.relay.onSettledPeer(nowMs);
        this.replica.onDelta(from, message.body, nowMs);
        break;
      case 'configSnapshotPart':
        this.replica.onSnapshotPart(from, message.body, nowMs);
        break;
      case 'configBusy':
        this.replica.onBusy(from, message.body, nowMs);
        break;
      case 'versionReport':
        this.reporter.onReport(from, message.body, nowMs);
        break;
      case 'fleetQuery': {
        const body = this.reporter.fleetReport(this.context.topology, nowMs);
        this.context.emit({
          type: 'send',
          to: from,
          message: {type: 'fleetReply', body},
        });
        break;
      }
      case 'fleetReply':
        this.fleet = {report: message.body, expiresAtMs: nowMs + FLEET_TTL_MS};
    }
  }

  private onSettledPeer(peer: string, known: number, nowMs: number): void {
    this.readiness.onAnswer(peer, known);
    this.relay.onSettledPeer(nowMs);
  }

  private onAdopted(adopted: AdoptedVersion): void {
    this.readiness.onEnforced(adopted.version.version);
    if (this.context.settled) this.emitEnforce(adopted);
  }

  /** Gives every part the time to act, and returns what they ask for. */
  private advance(nowMs: number): ConfigEffect[] {
    this.relay.poll(nowMs);
    this.replica.poll(nowMs);
    this.ask(nowMs);
    this.settle(nowMs);
    this.report(nowMs);
    const {effects} = this;
    this.effects = [];
    return effects;
  }

  private ask(nowMs: number): void {
    const {topology} = this.context;
    const toAsk = this.readiness.poll(topology.neighbours, nowMs);
    const message = createHaveMessage(this.context, this.replica.current, true);
    sendAll(this.context, toAsk, message);
  }

  private settle(nowMs: number): void {
    if (this.context.settled || !this.readiness.isSettled) return;
    this.context.settled = true;
    const version = this.replica.current;
    this.context.emit({type: 'settled', version: version.version});
    if (version.version < 0) return;
    this.emitEnforce({version, writes: null, acceptedAtMs: nowMs});
  }

  private report(nowMs: number): void {
    const {topology, knownVersion: known} = this.context;
    const behind = known > this.reporter.inForce;
    const outgoing = this.reporter.poll(topology, behind, nowMs);
    if (!outgoing) return;
    const {to, report} = outgoing;
    sendAll(this.context, to, {type: 'versionReport', body: report});
  }

  private emitEnforce({version, writes, acceptedAtMs}: AdoptedVersion): void {
    this.context.emit({type: 'enforce', version, writes, acceptedAtMs});
  }
}
