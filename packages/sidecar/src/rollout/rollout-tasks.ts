/** The tasks of roll-outs at one node, wired together. */

import type {MeshConfig} from '@turmericmill/config';
import {CandidateIndex, Task, type Bus} from '@turmericmill/node';
import type {ExposureBounds, Store} from '@turmericmill/platform-adapter';
import {
  candidateKey,
  sideOf,
  STATE_LIFETIME_MS,
  type RolloutServers,
} from '@turmericmill/routing';
import {
  rendezvousTop,
  type Clock,
  type RandomSource,
} from '@turmericmill/utils';
import type {MemberRecord, Message, RolloutState} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {ServerRunner} from '../server/server-runner.js';
import type {StoreEra} from '../store-era.js';
import {Coordinator, type CoordinatorParts} from './coordinator.js';
import {NodeReports} from './node-reports.js';
import {RolloutView, type Rollout} from './rollout-view.js';
import {ViewedServerRollout} from './server-rollout.js';
import {VersionRouting} from './version-routing.js';

/** Interval in ms at which this node looks whether it has to act. */
const CHECK_INTERVAL_MS = 100;
/** Time in ms after the start in which a node without peers takes no term. */
const JOIN_TIMEOUT_MS = 3_000;
/** Longest time in ms of calls while no configuration names one. */
const DEFAULT_CALL_MS = 1_000;

export interface RolloutParts {
  nodeId: string;
  incarnation: number;
  exposure: ExposureBounds;
  store: Store;
  storeEra: StoreEra;
  bus: Bus;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Returns undefined in deployments without bounds on exposure. */
export function createRolloutTasks(
  exposure: ExposureBounds | undefined,
  parts: Omit<RolloutParts, 'exposure'>,
): RolloutTasks | undefined {
  return exposure && new RolloutTasks({...parts, exposure});
}

/** Coordinates orders if this node has to, reports and keeps to their states. */
export class RolloutTasks extends Task {
  readonly view: RolloutView;
  readonly serverRollout: ViewedServerRollout;
  readonly routing: VersionRouting;
  private readonly reports: NodeReports;
  private readonly coordinators = new Map<string, Coordinator>();
  private members: readonly MemberRecord[] = [];
  private candidates = new CandidateIndex();
  private config: MeshConfig | undefined;
  private server: ServerRunner | undefined;
  private checkTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: RolloutParts) {
    super();
    const {nodeId, incarnation, bus, clock, logger, storeEra} = parts;
    this.view = new RolloutView(clock, logger);
    this.serverRollout = new ViewedServerRollout({
      nodeId,
      incarnation,
      view: this.view,
      clock,
      longestCallMs: service => this.longestCallMs(service),
    });
    this.routing = new VersionRouting(nodeId, this.view, clock);
    this.reports = new NodeReports({
      nodeId,
      clock,
      serverRollout: this.serverRollout,
      current: () => this.server?.current,
      send: (rollout, message) => this.report(rollout, message),
    });
    bus.subscribe('view-changed', ({members}) => {
      this.members = members;
      this.candidates = new CandidateIndex(members);
    });
    bus.subscribe('mesh-config', ({config}) => {
      this.config = config;
    });
    bus.onPeerMessage('rolloutState', ({body, peer}) => {
      this.onState(body, peer.nodeId);
    });
    bus.onPeerMessage('rolloutEvidence', ({body, peer}) => {
      this.onReport({type: 'rolloutEvidence', body}, peer.nodeId);
    });
    bus.onPeerMessage('rolloutClosed', ({body, peer}) => {
      this.onReport({type: 'rolloutClosed', body}, peer.nodeId);
    });
    bus.subscribe('peer-lost', ({nodeId: lostId, calls}) => {
      // Other connections to the node continue.
      if (calls) return;
      for (const rollout of this.view.open()) {
        if (rollout.coordinatorId === lostId) rollout.isCoordinatorLost = true;
      }
    });
    this.view.onChange(() => this.check());
    storeEra.onRise(() => {
      for (const one of this.coordinators.values()) one.onStoreReturned();
    });
  }

  /** Sets the server beside this node. */
  attach(server: ServerRunner): void {
    this.server = server;
  }

  override start(): void {
    this.checkTimer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  override stop(): void {
    clearInterval(this.checkTimer);
    for (const coordinator of this.coordinators.values()) coordinator.end();
    this.coordinators.clear();
  }

  private check(): void {
    if (this.view.all().length === 0) return;
    this.server?.applyRollout();
    for (const rollout of this.view.open()) {
      this.checkCoordinator(rollout);
      this.reports.tick(rollout);
    }
  }

  private checkCoordinator(rollout: Rollout): void {
    const {service, offset} = rollout;
    const coordinator = this.coordinators.get(service);
    if (coordinator && !coordinator.hasEnded) {
      if (coordinator.rollout.offset === offset) return;
      coordinator.end();
    }
    if (!this.hasToCoordinate(rollout)) return;
    const next = new Coordinator(rollout, this.coordinatorParts());
    this.coordinators.set(service, next);
    next.start();
  }

  /** True if no coordinator is heard and this node is the first of the rest. */
  private hasToCoordinate(rollout: Rollout): boolean {
    const {nodeId, incarnation, clock} = this.parts;
    const now = clock.now();
    if (!rollout.terms) return false;
    const isAlone = this.members.every(({id}) => id === nodeId);
    if (isAlone && now - incarnation < JOIN_TIMEOUT_MS) return false;
    // After a restart, the state may be on its way from the coordinator.
    const {isFromStart, learnedMs, heardMs} = rollout;
    const sinceMs = Math.max(heardMs, isFromStart ? learnedMs : -Infinity);
    const isRecent = now - sinceMs <= STATE_LIFETIME_MS;
    if (isRecent && !rollout.isCoordinatorLost) return false;
    return this.firstInRank(rollout) === nodeId;
  }

  /** The node that is or becomes the coordinator, as far as this one knows. */
  private firstInRank(rollout: Rollout): string {
    const {service, coordinatorId, heardMs, isCoordinatorLost} = rollout;
    const {nodeId, clock} = this.parts;
    const isRecent = clock.now() - heardMs <= STATE_LIFETIME_MS;
    const isHeard = isRecent && !isCoordinatorLost;
    if (isHeard && coordinatorId !== undefined) return coordinatorId;
    const alive = this.members.filter(({status}) => status === 'alive');
    const ids = new Set([nodeId, ...alive.map(({id}) => id)]);
    // A coordinator that has fallen silent may be alive and frozen.
    if (coordinatorId !== undefined) ids.delete(coordinatorId);
    return rendezvousTop(`rollout/${service}`, [...ids], 1)[0] ?? nodeId;
  }

  private coordinatorParts(): CoordinatorParts {
    const {nodeId, store, clock, random, logger, exposure} = this.parts;
    return {
      nodeId,
      store,
      clock,
      random,
      logger,
      bounds: {exposureShare: exposure.share, exposureSlack: exposure.slack},
      longestCallMs: service => this.longestCallMs(service),
      servers: rollout => this.serversOf(rollout),
      publish: state => this.publish(state),
    };
  }

  private longestCallMs(service: string): number {
    const routes = this.config?.routes ?? [];
    const times = routes
      .filter(({split}) => split.some(part => part.service === service))
      .map(({timeoutMs}) => timeoutMs);
    return times.length > 0 ? Math.max(...times) : DEFAULT_CALL_MS;
  }

  private serversOf(rollout: Rollout): RolloutServers | undefined {
    if (this.members.length === 0) return undefined;
    const known = this.candidates.ofGroup(rollout.service);
    const ofSide = (side: 'old' | 'new') =>
      known.filter(({version}) => sideOf(rollout, version) === side);
    const ready = ofSide('new').filter(({state}) => state === 'ready');
    return {old: ofSide('old').map(candidateKey), new: ready.map(candidateKey)};
  }

  private publish(state: RolloutState): void {
    const {nodeId} = this.parts;
    for (const {id} of this.members) {
      if (id !== nodeId) this.send(id, {type: 'rolloutState', body: state});
    }
    this.view.learnState(state, nodeId);
  }

  private onState(state: RolloutState, senderId: string): void {
    const {service, term} = state;
    if (!this.view.learnState(state, senderId)) return;
    const coordinator = this.coordinators.get(service);
    if (coordinator && term > coordinator.term && coordinator.term > 0) {
      coordinator.end();
    }
  }

  /** Sends a report to the coordinator. */
  private report(rollout: Rollout, message: Message): void {
    const {nodeId} = this.parts;
    const receiverId = this.firstInRank(rollout);
    if (receiverId === nodeId) this.onReport(message, nodeId);
    else this.send(receiverId, message);
  }

  /** Takes in a report; a node that asks in vain is sent the settled state. */
  private onReport(message: Message, senderId: string): void {
    if (
      message.type !== 'rolloutEvidence' &&
      message.type !== 'rolloutClosed'
    ) {
      return;
    }
    const {service, orderOffset} = message.body;
    const rollout = this.view.of(service);
    const coordinator = this.coordinators.get(service);
    const {state} = rollout ?? {};
    if (state?.isSettled && senderId !== this.parts.nodeId) {
      this.send(senderId, {type: 'rolloutState', body: state});
    }
    if (!coordinator || coordinator.rollout.offset !== orderOffset) return;
    if (message.type === 'rolloutEvidence') {
      // An empty report only asks; its node counts no requests.
      if (message.body.rows.length === 0) return;
      coordinator.addEvidence(message.body);
    } else {
      coordinator.addClosed(message.body);
    }
  }

  private send(nodeId: string, message: Message): void {
    this.parts.bus.publish('send-peer', {nodeId, message});
  }
}
