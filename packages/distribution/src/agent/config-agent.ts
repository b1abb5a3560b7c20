/**
 * State machine that distributes the configuration on one node. It does no I/O
 * and has no clock or timer: each input returns the effects that the calling
 * task has to carry out.
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

/** Options of a `ConfigAgent`. */
export interface ConfigAgentOptions {
  self: ConfigPeer;
  preference: DistributionPreference;
  /** Whether the node has other nodes to join. */
  expectsPeers: boolean;
  random: RandomSource;
  nowMs: number;
}

/** Minimum interval between two queries to the report root. */
const FLEET_QUERY_INTERVAL_MS = 100;

/** Time for which an answer of the report root is valid. */
const FLEET_TTL_MS = 5000;

/** Configuration agent of one node. */
export class ConfigAgent {
  private effects: ConfigEffect[] = [];
  private readonly context: AgentContext;
  private readonly replica: Replica;
  private readonly relay: Relay;
  private readonly readiness: Readiness;
  private readonly reporter: VersionReporter;
  private rootReport: {report: VersionReport; expiresAtMs: number} | undefined;
  private nextFleetQueryAtMs = 0;
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

  /** The newest complete version; in force once the node is settled. */
  get version(): ConfigVersion {
    return this.replica.current;
  }

  /** The highest version known to exist. */
  get knownVersion(): number {
    return this.context.knownVersion;
  }

  /** The folded state, on nodes that have read the log to its end. */
  get foldState(): ConfigState | undefined {
    return this.relay.foldState;
  }

  /** The live members changed; `peers` may include this node. */
  onMembers(peers: readonly ConfigPeer[], nowMs: number): ConfigEffect[] {
    const {self} = this.context.topology;
    if (this.context.topology.hasSameMembers(peers) && this.knowsMembers) {
      return this.pollParts(nowMs);
    }
    this.knowsMembers = true;
    const topology = new Topology(self, peers);
    this.context.topology = topology;
    this.readiness.setWitnesses(topology.witnesses(), topology.isRelay);
    this.reporter.removeDeparted(topology);
    this.relay.onMembers(nowMs);
    return this.pollParts(nowMs);
  }

  /** A message from another node arrived. Malformed messages are dropped. */
  onMessage(
    from: string,
    message: ConfigMessage,
    nowMs: number,
  ): ConfigEffect[] {
    if (isWellFormed(message)) this.dispatch(from, message, nowMs);
    return this.pollParts(nowMs);
  }

  /** The log call with the id `callId` returned `result`. */
  onLogResult(callId: number, result: LogReply, nowMs: number): ConfigEffect[] {
    this.relay.onLogResult(callId, result, nowMs);
    return this.pollParts(nowMs);
  }

  /** The connection to a node was lost. */
  onPeerLost(peer: string, nowMs: number): ConfigEffect[] {
    this.replica.onPeerLost(peer, nowMs);
    return this.pollParts(nowMs);
  }

  /** The calling task put `version` in force; it is reported from now on. */
  onEnforced(version: number, nowMs: number): ConfigEffect[] {
    this.reporter.setVersion(version, nowMs);
    return this.pollParts(nowMs);
  }

  /** The timer fired; to be called by `nextDeadlineMs` at the latest. */
  onTimer(nowMs: number): ConfigEffect[] {
    return this.pollParts(nowMs);
  }

  nextDeadlineMs(): number {
    return Math.min(
      this.replica.nextDeadlineMs(),
      this.relay.nextDeadlineMs(),
      this.readiness.nextDeadlineMs(),
      this.reporter.nextDeadlineMs(),
    );
  }

  /** Queries the report root; `fleetReport` returns its answer. */
  queryFleet(nowMs: number): ConfigEffect[] {
    const {topology} = this.context;
    const root = topology.reportRootOf(topology.self.dataCentre);
    if (root === undefined || root === topology.self.id) return [];
    if (nowMs < this.nextFleetQueryAtMs) return [];
    this.nextFleetQueryAtMs = nowMs + FLEET_QUERY_INTERVAL_MS;
    const message = {type: 'fleetQuery', body: {atMs: nowMs}} as const;
    return [{type: 'send', to: root, message}];
  }

  /**
   * Versions in force on all nodes, if the report root answered recently;
   * otherwise those on this node and in the reports that it received.
   */
  fleetReport(nowMs: number): VersionReport {
    const {topology} = this.context;
    const {rootReport} = this;
    if (rootReport && rootReport.expiresAtMs > nowMs) return rootReport.report;
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
        this.rootReport = {
          report: message.body,
          expiresAtMs: nowMs + FLEET_TTL_MS,
        };
    }
  }

  private onSettledPeer(
    peer: string,
    knownVersion: number,
    nowMs: number,
  ): void {
    this.readiness.onAnswer(peer, knownVersion);
    this.relay.onSettledPeer(nowMs);
  }

  private onAdopted(adopted: AdoptedVersion): void {
    this.readiness.onEnforced(adopted.version.version);
    if (this.context.settled) this.emitEnforce(adopted);
  }

  /** Polls all parts, and returns the effects that were emitted. */
  private pollParts(nowMs: number): ConfigEffect[] {
    this.relay.poll(nowMs);
    this.replica.poll(nowMs);
    this.queryPeers(nowMs);
    this.settleIfReady(nowMs);
    this.sendReport(nowMs);
    const {effects} = this;
    this.effects = [];
    return effects;
  }

  private queryPeers(nowMs: number): void {
    const {topology} = this.context;
    const peersToQuery = this.readiness.poll(topology.localPeers, nowMs);
    const message = createHaveMessage(this.context, this.replica.current, true);
    sendAll(this.context, peersToQuery, message);
  }

  private settleIfReady(nowMs: number): void {
    if (this.context.settled || !this.readiness.isSettled) return;
    this.context.settled = true;
    const version = this.replica.current;
    this.context.emit({type: 'settled', version: version.version});
    if (version.version < 0) return;
    this.emitEnforce({version, writes: null, acceptedAtMs: nowMs});
  }

  private sendReport(nowMs: number): void {
    const {topology, knownVersion} = this.context;
    const isBehind = knownVersion > this.reporter.inForce;
    const outgoing = this.reporter.poll(topology, isBehind, nowMs);
    if (!outgoing) return;
    const {to, report} = outgoing;
    sendAll(this.context, to, {type: 'versionReport', body: report});
  }

  private emitEnforce({version, writes, acceptedAtMs}: AdoptedVersion): void {
    this.context.emit({type: 'enforce', version, writes, acceptedAtMs});
  }
}
