/** Follows published configurations; keeps the newest valid one in force. */

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
  createChange,
  compress,
  decompress,
} from './document-transfer.js';
import {
  BEACON_INTERVAL_MS,
  isReader,
  mustReadStore,
  type SourceState,
} from './source-choice.js';

/**
 * Time in ms that a read waits at the store for a change. With the beacon
 * interval it stays below `STALE_AFTER_MS`: a longer wait would save calls of
 * the reader, but the other nodes would then make more by reading themselves.
 */
export const READ_WAIT_MS = 500;
/** Base and cap in ms of the jittered delay after a failed read. */
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 800;
/** Interval in ms at which a node that is not a reader checks its source. */
const SOURCE_CHECK_INTERVAL_MS = 250;
/** Peers that are asked for a newer version after each failed read. */
const ASK_FAN_OUT = 2;

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
   * Offset of the next read. Undefined at first and after a pause or a failed
   * read: the next read then gets only the newest document, which is a fraction
   * of all that were published meanwhile.
   */
  private offset: number | undefined;
  /** Time in ms of the last store read that succeeded, here or at a peer. */
  private confirmedMs = -Infinity;
  /** Ids of the live nodes of this data centre, including this node. */
  private localNodeIds: string[] = [];
  /** Ids of the live nodes of all data centres, without this node. */
  private peerIds: string[] = [];
  private stopped = false;
  private failures = 0;
  private isStoreLost = false;
  private beaconTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ConfigFollowerParts) {
    super();
    const {bus} = parts;
    bus.subscribe('view-changed', ({members}) => this.onViewChanged(members));
    bus.onPeerMessage('configNotice', ({body, peer}) => {
      this.onNotice(body, peer);
    });
    bus.onPeerMessage('configAsk', ({body, peer}) => {
      if (this.version <= body.version) return;
      this.send(peer.nodeId, this.createFullNotice());
    });
  }

  /** Version in force; 0 while there is none. */
  get version(): number {
    return this.inForce?.config.version ?? 0;
  }

  override start(): void {
    void this.follow();
    this.beaconTimer = setInterval(() => this.sendBeacon(), BEACON_INTERVAL_MS);
  }

  override stop(): void {
    this.stopped = true;
    clearInterval(this.beaconTimer);
  }

  private get source(): SourceState {
    const {nodeId} = this.parts;
    const {localNodeIds, confirmedMs} = this;
    return {nodeId, localNodeIds, confirmedMs};
  }

  private async follow(): Promise<void> {
    while (!this.stopped) {
      const now = this.parts.clock.now();
      if (this.inForce && !mustReadStore(this.source, now)) {
        this.offset = undefined;
        await sleep(SOURCE_CHECK_INTERVAL_MS);
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

  /** Reads the store; returns false if that failed. */
  private async readStore(): Promise<boolean> {
    const {store, clock, logger} = this.parts;
    const page =
      this.offset === undefined
        ? await store.newest(CONFIG_TOPIC)
        : await store.read(CONFIG_TOPIC, this.offset, READ_WAIT_MS);
    if (page.isErr()) {
      this.failures += 1;
      if (!this.isStoreLost) logger.warn({err: page.error}, 'store lost');
      this.isStoreLost = true;
      return false;
    }
    if (this.isStoreLost) logger.info('store regained');
    this.isStoreLost = false;
    this.failures = 0;
    this.confirmedMs = clock.now();
    this.applyPage(page.value);
    return true;
  }

  private applyPage({records, endOffset}: KeyedPage): void {
    this.offset = endOffset;
    const newest = records.filter(({key}) => key === CONFIG_KEY).at(-1);
    if (!newest || newest.value.length === 0) return;
    const before = this.inForce;
    if (!this.adopt(newest.value)) return;
    if (isReader(this.source)) this.forward(before);
  }

  /**
   * Sends the version in force to the nodes of this data centre, as a change
   * from `before` if possible. A node without `before` requests the whole
   * document.
   */
  private forward(before: InForce | undefined): void {
    const message =
      before && this.inForce
        ? this.createChangeNotice(before, this.inForce)
        : this.createFullNotice();
    for (const nodeId of this.localNodeIds) {
      if (nodeId !== this.parts.nodeId) this.send(nodeId, message);
    }
  }

  /** Puts a document in force and returns true if it is valid and newer. */
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
      else this.send(peer.nodeId, this.createAsk());
    }
    // A version that was not adopted does not confirm that the source works.
    if (version !== this.version) return;
    this.confirmedMs = Math.max(
      this.confirmedMs,
      this.parts.clock.now() - ageMs,
    );
  }

  /** Returns the document of a notice; undefined if none can be decoded. */
  private documentOf({document, change}: ConfigNotice): Uint8Array | undefined {
    const {inForce} = this;
    const isBase = change?.baseVersion === this.version;
    const result =
      change && inForce && isBase
        ? applyChange(inForce.document, change)
        : document && decompress(document);
    if (result?.isErr()) {
      const {error} = result;
      this.parts.logger.warn(
        {error},
        'document of a configuration notice could not be decoded',
      );
    }
    return result?.isOk() ? result.value : undefined;
  }

  private sendBeacon(): void {
    if (!this.inForce || !isReader(this.source)) return;
    const notice = this.createNotice();
    for (const nodeId of this.localNodeIds) {
      if (nodeId !== this.parts.nodeId) this.send(nodeId, notice);
    }
  }

  /** Asks peers for a newer version while the store does not answer. */
  private askPeers(): void {
    const {random} = this.parts;
    for (const nodeId of random.sample(this.peerIds, ASK_FAN_OUT)) {
      this.send(nodeId, this.createAsk());
    }
  }

  private createAsk(): Message {
    return {type: 'configAsk', body: {version: this.version}};
  }

  private createNotice(content: Partial<ConfigNotice> = {}): Message {
    const ageMs = this.parts.clock.now() - this.confirmedMs;
    const body: ConfigNotice = {version: this.version, ageMs, ...content};
    return {type: 'configNotice', body};
  }

  private createFullNotice(): Message {
    const {inForce} = this;
    return this.createNotice(inForce && {document: compress(inForce.document)});
  }

  private createChangeNotice(before: InForce, after: InForce): Message {
    const {version} = before.config;
    const change = createChange(version, before.document, after.document);
    return this.createNotice({change});
  }

  private send(nodeId: string, message: Message): void {
    this.parts.bus.publish('send-peer', {nodeId, message});
  }

  private retryDelayMs(): number {
    const {random} = this.parts;
    const jitterMs = random.jitter(RETRY_BASE_MS, this.failures, RETRY_CAP_MS);
    return RETRY_BASE_MS + jitterMs;
  }

  private onViewChanged(members: readonly MemberRecord[]): void {
    const {nodeId, dataCentre} = this.parts;
    const alive = members.filter(({status}) => status === 'alive');
    this.localNodeIds = alive
      .filter(member => member.dataCentre === dataCentre)
      .map(({id}) => id);
    this.peerIds = alive.map(({id}) => id).filter(id => id !== nodeId);
  }
}
