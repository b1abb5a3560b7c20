/**
 * Followers of one data centre on links of limited bandwidth, in simulated
 * time. A link passes on one message after the other; the messages between two
 * nodes arrive in the order in which they were sent.
 */

import {install, type Clock as FakeTimers} from '@sinonjs/fake-timers';
import {Bus} from '@turmericmill/node';
import {
  CONFIG_KEY,
  Store,
  type KeyedPage,
  type StoreError,
} from '@turmericmill/platform-adapter';
import {Ok, SeededRandom, sleep, type Result} from '@turmericmill/utils';
import {encodeFrame, type MemberRecord, type Message} from '@turmericmill/wire';
import bunyan from 'bunyan';

import {ConfigFollower} from '../../src/config/config-follower.js';

/** Delay in ms of a message and of a call of the store. */
const TRANSIT_MS = 2;
/** Bytes that a connection carries until the receiver acknowledges them. */
const CONNECTION_WINDOW_BYTES = 64 * 1024;
/** Growth of a document in the answer to `newest`, where it is in base64. */
const BASE64_GROWTH = 4 / 3;

export interface DataCentreOptions {
  nodeIds: readonly string[];
  configInForceMs: number;
  /** Bandwidth of each link, in each direction, that calls leave free. */
  bytesPerMs: number;
  /** Time in ms for which outgoing bytes wait at the links of some nodes. */
  queueMs?: Readonly<Record<string, number>>;
  /** Nodes that are in the views of these nodes alone. */
  newIds?: readonly string[];
}

/** The topic of the store, with the documents of all versions. */
class SimulatedTopic {
  private readonly documents: Uint8Array[] = [];
  private waiting: (() => void)[] = [];

  get endOffset(): number {
    return this.documents.length;
  }

  publish(document: Uint8Array): void {
    this.documents.push(document);
    for (const wake of this.waiting.splice(0)) wake();
  }

  pageFrom(offset: number): KeyedPage {
    const {documents, endOffset} = this;
    const records = documents.slice(offset).map((value, index) => ({
      key: CONFIG_KEY,
      value,
      offset: offset + index,
    }));
    return {records, endOffset};
  }

  async waitForRecord(offset: number, waitMs: number): Promise<void> {
    if (this.endOffset > offset) return;
    const record = new Promise<void>(resolve => this.waiting.push(resolve));
    await Promise.race([record, sleep(waitMs)]);
  }
}

/** Calls of the store over the link of one node. */
class LinkedStore extends Store {
  calls = 0;

  constructor(
    private readonly topic: SimulatedTopic,
    private readonly bytesPerMs: number,
    private readonly queueMs: number,
  ) {
    super();
  }

  override async newest(): Promise<Result<KeyedPage, StoreError>> {
    await this.request();
    const page = this.topic.pageFrom(Math.max(0, this.topic.endOffset - 1));
    return this.receive(page, BASE64_GROWTH);
  }

  override async read(
    unusedTopic: string,
    from: number,
    waitMs: number,
  ): Promise<Result<KeyedPage, StoreError>> {
    await this.request();
    await this.topic.waitForRecord(from, waitMs);
    return this.receive(this.topic.pageFrom(from), 1);
  }

  override put(): Promise<Result<void, StoreError>> {
    return Promise.resolve(Ok(undefined));
  }

  override close(): void {
    return;
  }

  private async request(): Promise<void> {
    this.calls += 1;
    await sleep(TRANSIT_MS + this.queueMs);
  }

  private async receive(
    page: KeyedPage,
    growth: number,
  ): Promise<Result<KeyedPage, StoreError>> {
    const bytes =
      growth * page.records.reduce((sum, {value}) => sum + value.length, 0);
    await sleep(
      TRANSIT_MS + bytes / this.bytesPerMs + windowWaitMs(bytes, this.queueMs),
    );
    return Ok(page);
  }
}

/** Time in ms for which a sender waits for acknowledgements of its receiver. */
function windowWaitMs(bytes: number, receiverQueueMs: number): number {
  return Math.floor(bytes / CONNECTION_WINDOW_BYTES) * receiverQueueMs;
}

interface SimulatedNode {
  bus: Bus;
  follower: ConfigFollower;
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
  private readonly topic = new SimulatedTopic();
  private readonly heldBackMs = new Map<string, number>();
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

  /** Ends nodes without any message; they stay in the views of the others. */
  kill(nodeIds: readonly string[]): void {
    for (const id of nodeIds) {
      this.nodes.get(id)?.follower.stop();
      this.nodes.delete(id);
    }
  }

  publish(document: Uint8Array): void {
    this.topic.publish(document);
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

  get storeCalls(): number {
    return [...this.nodes.values()].reduce(
      (sum, {store}) => sum + store.calls,
      0,
    );
  }

  private createNode(nodeId: string, index: number): SimulatedNode {
    const {configInForceMs, bytesPerMs, queueMs = {}} = this.options;
    const bus = new Bus();
    const store = new LinkedStore(this.topic, bytesPerMs, queueMs[nodeId] ?? 0);
    const follower = new ConfigFollower({
      nodeId,
      dataCentre: 'a',
      configInForceMs,
      store,
      bus,
      clock: {now: () => this.timers.now},
      random: new SeededRandom(index),
      logger: bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1}),
    });
    const node = {
      bus,
      follower,
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

  private viewOf(nodeId: string): MemberRecord[] {
    const {nodeIds, newIds = []} = this.options;
    const ids = newIds.includes(nodeId)
      ? nodeIds
      : nodeIds.filter(id => !newIds.includes(id));
    const members = ids.map(id => ({id, dataCentre: 'a', status: 'alive'}));
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
