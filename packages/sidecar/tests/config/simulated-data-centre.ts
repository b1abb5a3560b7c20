/**
 * Followers of data centres on links of limited bandwidth, in simulated
 * time. A link passes on one message after the other; the messages between two
 * nodes arrive in the order in which they were sent.
 */

import {install, type Clock as FakeTimers} from '@sinonjs/fake-timers';
import {Bus} from '@turmericmill/node';
import {ConfigFreshness} from '@turmericmill/routing';
import {SeededRandom} from '@turmericmill/utils';
import {encodeFrame, type MemberRecord, type Message} from '@turmericmill/wire';
import bunyan from 'bunyan';

import {ConfigConfirmation} from '../../src/config/config-confirmation.js';
import {ConfigFollower} from '../../src/config/config-follower.js';
import {StoreEra} from '../../src/store-era.js';
import {
  LinkedStore,
  SimulatedTopic,
  TRANSIT_MS,
  windowWaitMs,
} from './simulated-store.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});

export interface DataCentreOptions {
  nodeIds: readonly string[];
  configInForceMs: number;
  /** Bound in ms of a revocation; not strict without it. */
  revokeMs?: number;
  /** Bandwidth of each link, in each direction, that calls leave free. */
  bytesPerMs: number;
  /** Time in ms for which outgoing bytes wait at the links of some nodes. */
  queueMs?: Readonly<Record<string, number>>;
  /** Nodes that are in the views of these nodes alone. */
  newIds?: readonly string[];
  /** Returns the data centre of a node; all are in one by default. */
  dataCentreOf?: (nodeId: string) => string;
}

interface SimulatedNode {
  bus: Bus;
  follower: ConfigFollower;
  confirmation: ConfigConfirmation;
  store: LinkedStore;
  /** Time in ms at which the link has passed on all messages. */
  linkFreeAtMs: number;
  /** Time in ms of the last arrival, by receiver. */
  lastArrivalMs: Map<string, number>;
}

export class SimulatedDataCentre {
  private readonly timers: FakeTimers = install({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });
  readonly topic = new SimulatedTopic();
  private readonly heldBackMs = new Map<string, number>();
  private readonly unreachableIds = new Set<string>();
  private readonly nodes = new Map<string, SimulatedNode>();

  constructor(private readonly options: DataCentreOptions) {
    for (const [index, id] of options.nodeIds.entries()) {
      this.nodes.set(id, this.createNode(id, index));
    }
  }

  /** Starts all nodes and lets `ms` pass. */
  async start(ms: number): Promise<void> {
    for (const {follower} of this.nodes.values()) follower.start();
    await this.pass(ms);
  }

  stop(): void {
    for (const {follower} of this.nodes.values()) follower.stop();
    this.timers.uninstall();
  }

  /** From now on, a connection to this node holds each message back. */
  holdBack(nodeId: string, ms: number): void {
    this.heldBackMs.set(nodeId, ms);
  }

  /** Whether messages to a node are lost, as while its connections are reset. */
  setUnreachable(nodeId: string, isUnreachable: boolean): void {
    if (isUnreachable) this.unreachableIds.add(nodeId);
    else this.unreachableIds.delete(nodeId);
  }

  /** Ends nodes without any message; they stay in the views of the others. */
  kill(nodeIds: readonly string[]): void {
    for (const id of nodeIds) {
      this.nodes.get(id)?.follower.stop();
      this.nodes.delete(id);
    }
  }

  /** Starts a node that has been killed. */
  restart(nodeId: string): void {
    const node = this.createNode(nodeId, this.options.nodeIds.indexOf(nodeId));
    this.nodes.set(nodeId, node);
    node.follower.start();
  }

  /** Whether calls of a node reach the store. */
  setCut(nodeId: string, isCut: boolean): void {
    const node = this.nodes.get(nodeId);
    if (node) node.store.isCut = isCut;
  }

  publish(document: Uint8Array): void {
    this.topic.publish(document);
  }

  /** Versions in force at the running nodes, by id. */
  get versions(): Map<string, number> {
    return new Map(
      [...this.nodes].map(([id, {follower}]) => [id, follower.version]),
    );
  }

  async pass(ms: number): Promise<void> {
    await this.timers.tickAsync(ms);
  }

  /** Ids of the running nodes with a version before `version`. */
  behind(version: number): string[] {
    return [...this.nodes]
      .filter(([, {follower}]) => follower.version < version)
      .map(([id]) => id);
  }

  /** Ids of the running nodes whose configuration confirms no key. */
  get stale(): string[] {
    return [...this.nodes]
      .filter(([, {confirmation}]) => !confirmation.isFresh)
      .map(([id]) => id);
  }

  get storeCalls(): number {
    return [...this.nodes.values()].reduce(
      (sum, {store}) => sum + store.calls,
      0,
    );
  }

  private createNode(nodeId: string, index: number): SimulatedNode {
    const {configInForceMs, bytesPerMs, queueMs = {}, revokeMs} = this.options;
    const bus = new Bus();
    const storeEra = new StoreEra(SILENT);
    const store = new LinkedStore({
      topic: this.topic,
      storeEra,
      bytesPerMs,
      queueMs: queueMs[nodeId] ?? 0,
    });
    const confirmation = new ConfigConfirmation({
      freshness: new ConfigFreshness(revokeMs),
      clock: {now: () => this.timers.now},
      random: new SeededRandom(index),
      bus,
    });
    const follower = new ConfigFollower({
      nodeId,
      dataCentre: this.dataCentreOf(nodeId),
      configInForceMs,
      store,
      storeEra,
      confirmation,
      bus,
      clock: {now: () => this.timers.now},
      random: new SeededRandom(index),
      logger: SILENT,
    });
    const node = {
      bus,
      follower,
      confirmation,
      store,
      linkFreeAtMs: 0,
      lastArrivalMs: new Map<string, number>(),
    };
    bus.subscribe('send-peer', ({nodeId: to, message}) => {
      this.transfer(nodeId, node, to, message);
    });
    bus.publish('view-changed', {members: this.viewOf(nodeId)});
    return node;
  }

  private dataCentreOf(nodeId: string): string {
    return this.options.dataCentreOf?.(nodeId) ?? 'a';
  }

  private viewOf(nodeId: string): MemberRecord[] {
    const {nodeIds, newIds = []} = this.options;
    const ids = newIds.includes(nodeId)
      ? nodeIds
      : nodeIds.filter(id => !newIds.includes(id));
    const members = ids.map(id => ({
      id,
      dataCentre: this.dataCentreOf(id),
      status: 'alive',
    }));
    return members as unknown as MemberRecord[];
  }

  private transfer(
    from: string,
    sender: SimulatedNode,
    to: string,
    message: Message,
  ): void {
    const receiver = this.nodes.get(to);
    if (!receiver || !this.nodes.has(from)) return;
    if (this.unreachableIds.has(to)) return;
    const {bytesPerMs, queueMs = {}} = this.options;
    const {now} = this.timers;
    const bytes = encodeFrame(message).length;
    sender.linkFreeAtMs =
      Math.max(now, sender.linkFreeAtMs) + bytes / bytesPerMs;
    const arrivalMs =
      sender.linkFreeAtMs +
      (queueMs[from] ?? 0) +
      (this.heldBackMs.get(to) ?? 0) +
      TRANSIT_MS;
    const inOrderMs = Math.max(arrivalMs, sender.lastArrivalMs.get(to) ?? 0);
    const arrivedMs = inOrderMs + windowWaitMs(bytes, queueMs[to] ?? 0);
    sender.lastArrivalMs.set(to, arrivedMs);
    const peer = {nodeId: from, incarnation: 1} as never;
    setTimeout(() => {
      receiver.bus.publishPeerMessage(peer, message);
    }, arrivedMs - now);
  }
}
