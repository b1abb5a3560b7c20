/** Keeps the newest accepted configuration in force on this node. */

import type {MeshConfig} from '@turmericmill/config';
import {Task, type Bus, type Peer} from '@turmericmill/node';
import {
  CONFIG_KEY,
  CONFIG_TOPIC,
  formatFindings,
  parsePublishedConfig,
  type KeyedPage,
  type Store,
} from '@turmericmill/platform-adapter';
import {sleep, type Clock, type RandomSource} from '@turmericmill/utils';
import type {ConfigNotice, MemberRecord, Message} from '@turmericmill/wire';
import type Logger from 'bunyan';

import {
  applyChange,
  changeFrom,
  compress,
  decompress,
} from './document-transfer.js';
import {
  BEACON_INTERVAL_MS,
  isReader,
  readsStore,
  type SourceState,
} from './source-choice.js';

/**
 * Time in ms that the store holds a read while there is no news. With the
 * interval of the beacon it stays below the age at which neighbours read the
 * store themselves: their reads would cost more calls than shorter waits do.
 */
export const READ_WAIT_MS = 500;
/** Base and cap in ms of the jittered time between failed reads. */
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 800;
/** Time in ms between looks of a node that leaves reading to others. */
const LOOK_INTERVAL_MS = 250;
/** Peers that a node without a configuration asks at once. */
const ASK_FAN_OUT = 2;

/** What the follower is given. */
export interface ConfigFollowerParts {
  nodeId: string;
  dataCentre: string;
  store: Store;
  bus: Bus;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

interface InForce {
  config: MeshConfig;
  document: Uint8Array;
}

export class ConfigFollower extends Task {
  private inForce: InForce | undefined;
  /**
   * Offset to read on from. Undefined after a time without reading: the newest
   * document is a fraction of all that were published meanwhile.
   */
  private offset: number | undefined;
  private heardMs = -Infinity;
  private neighbours: string[] = [];
  private others: string[] = [];
  private stopped = false;
  private failures = 0;
  private storeLost = false;
  private beaconTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ConfigFollowerParts) {
    super();
    const {bus} = parts;
    bus.subscribe('view-changed', ({members}) => this.view(members));
    bus.onPeerMessage('configNotice', ({body, peer}) => {
      this.onNotice(body, peer);
    });
    bus.onPeerMessage('configAsk', ({body, peer}) => {
      if (this.version <= body.version) return;
      this.send(peer.nodeId, this.wholeNotice());
    });
  }

  /** Version in force; 0 while there is none. */
  get version(): number {
    return this.inForce?.config.version ?? 0;
  }

  override start(): void {
    void this.follow();
    this.beaconTimer = setInterval(() => this.beacon(), BEACON_INTERVAL_MS);
  }

  override stop(): void {
    this.stopped = true;
    clearInterval(this.beaconTimer);
  }

  private get source(): SourceState {
    const {nodeId} = this.parts;
    const {neighbours, heardMs} = this;
    return {nodeId, neighbours, heardMs};
  }

  private async follow(): Promise<void> {
    while (!this.stopped) {
      const now = this.parts.clock.now();
      if (this.inForce && !readsStore(this.source, now)) {
        this.offset = undefined;
        await sleep(LOOK_INTERVAL_MS);
        continue;
      }
      const read = await this.readStore();
      if (!read) {
        this.offset = undefined;
        this.askPeers();
        await sleep(this.retryDelayMs());
      }
    }
  }

  /** False if the store gave no answer. */
  private async readStore(): Promise<boolean> {
    const {store, clock, logger} = this.parts;
    const page =
      this.offset === undefined
        ? await store.newest(CONFIG_TOPIC)
        : await store.read(CONFIG_TOPIC, this.offset, READ_WAIT_MS);
    if (page.isErr()) {
      this.failures += 1;
      if (!this.storeLost) logger.warn({err: page.error}, 'store lost');
      this.storeLost = true;
      return false;
    }
    if (this.storeLost) logger.info('store regained');
    this.storeLost = false;
    this.failures = 0;
    this.heardMs = clock.now();
    this.takePage(page.value);
    return true;
  }

  private takePage({records, endOffset}: KeyedPage): void {
    this.offset = endOffset;
    const newest = records.filter(({key}) => key === CONFIG_KEY).at(-1);
    if (!newest || newest.value.length === 0) return;
    const before = this.inForce;
    if (!this.adopt(newest.value)) return;
    if (isReader(this.source)) this.handOn(before);
  }

  /** Neighbours hold the version before, as they heard it from here. */
  private handOn(before: InForce | undefined): void {
    const message =
      before && this.inForce
        ? this.changeNotice(before, this.inForce)
        : this.wholeNotice();
    for (const nodeId of this.neighbours) {
      if (nodeId !== this.parts.nodeId) this.send(nodeId, message);
    }
  }

  /** Puts a document in force if it is newer; a bad one changes nothing. */
  private adopt(document: Uint8Array): boolean {
    const {logger, bus} = this.parts;
    const config = parsePublishedConfig(document);
    if (config.isErr()) {
      const findings = formatFindings(config.error);
      logger.error({findings, kept: this.version}, 'configuration refused');
      return false;
    }
    const {version} = config.value;
    if (version <= this.version) return false;
    const before = this.version;
    this.inForce = {config: config.value, document};
    logger.info({version, before}, 'configuration in force');
    bus.publish('mesh-config', {config: config.value});
    return true;
  }

  private onNotice(notice: ConfigNotice, peer: Peer): void {
    const {version, ageMs} = notice;
    if (version > this.version) {
      const document = this.documentOf(notice);
      if (document) this.adopt(document);
      else this.send(peer.nodeId, this.ask());
    }
    // What could not be adopted is no sign of a source that works.
    if (version !== this.version) return;
    this.heardMs = Math.max(this.heardMs, this.parts.clock.now() - ageMs);
  }

  /** Undefined if the notice does not hold a document that can be read. */
  private documentOf({document, change}: ConfigNotice): Uint8Array | undefined {
    const {inForce} = this;
    const isBase = change?.baseVersion === this.version;
    const result =
      change && inForce && isBase
        ? applyChange(inForce.document, change)
        : document && decompress(document);
    if (result?.isErr()) {
      const {error} = result;
      this.parts.logger.warn({error}, 'configuration notice not readable');
    }
    return result?.isOk() ? result.value : undefined;
  }

  private beacon(): void {
    if (!this.inForce || !isReader(this.source)) return;
    const notice = this.notice();
    for (const nodeId of this.neighbours) {
      if (nodeId !== this.parts.nodeId) this.send(nodeId, notice);
    }
  }

  /** While the store does not answer, a peer may know a newer version. */
  private askPeers(): void {
    const {random} = this.parts;
    for (const nodeId of random.sample(this.others, ASK_FAN_OUT)) {
      this.send(nodeId, this.ask());
    }
  }

  private ask(): Message {
    return {type: 'configAsk', body: {version: this.version}};
  }

  private notice(content: Partial<ConfigNotice> = {}): Message {
    const ageMs = this.parts.clock.now() - this.heardMs;
    const body: ConfigNotice = {version: this.version, ageMs, ...content};
    return {type: 'configNotice', body};
  }

  private wholeNotice(): Message {
    const {inForce} = this;
    return this.notice(inForce && {document: compress(inForce.document)});
  }

  private changeNotice(before: InForce, after: InForce): Message {
    const {version} = before.config;
    const change = changeFrom(version, before.document, after.document);
    return this.notice({change});
  }

  private send(nodeId: string, message: Message): void {
    this.parts.bus.publish('send-peer', {nodeId, message});
  }

  private retryDelayMs(): number {
    const {random} = this.parts;
    const jitterMs = random.jitter(RETRY_BASE_MS, this.failures, RETRY_CAP_MS);
    return RETRY_BASE_MS + jitterMs;
  }

  private view(members: readonly MemberRecord[]): void {
    const {nodeId, dataCentre} = this.parts;
    const alive = members.filter(({status}) => status === 'alive');
    this.neighbours = alive
      .filter(member => member.dataCentre === dataCentre)
      .map(({id}) => id);
    this.others = alive.map(({id}) => id).filter(id => id !== nodeId);
  }
}
