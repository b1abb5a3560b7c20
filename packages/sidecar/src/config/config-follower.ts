/** Follows published configurations; keeps the newest valid one in force. */

import type {MeshConfig} from '@turmericmill/config';
import {Task, type Bus, type Peer} from '@turmericmill/node';
import {
  CONFIG_KEY,
  formatFindings,
  KeyDigests,
  parsePublishedConfig,
  type KeyedPage,
  type Store,
} from '@turmericmill/platform-adapter';
import {sleep, type Clock, type RandomSource} from '@turmericmill/utils';
import type {
  ConfigAsk,
  ConfigNotice,
  DocumentChange,
  Message,
} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {RolloutView} from '../rollout/rollout-view.js';
import type {EraSource, StoreEra} from '../store-era.js';
import {
  isBeacon,
  isConfirmation,
  type ConfigConfirmation,
} from './config-confirmation.js';
import {ConfigPeers} from './config-peers.js';
import {DocumentExchange} from './document-exchange.js';
import {LateNoticeLog} from './late-notice-log.js';
import {NoticeDelays} from './notice-delays.js';
import {
  BEACON_INTERVAL_MS,
  maySendToAll,
  NOTICE_GAP_MS,
  retryCapMs,
  sourceTimes,
  takeoverMs,
  type SourceTimes,
} from './source-choice.js';
import {SourceAge} from './source-age.js';
import {TopicReader, type TopicRead} from './topic-reader.js';

/** Base in ms of the jittered delay after a failed read. */
const RETRY_BASE_MS = 100;
/** Longest time in ms between two checks of a node that is not a reader. */
const SOURCE_CHECK_INTERVAL_MS = 250;
/** Least time in ms between two reads that bring no records. */
const MIN_READ_INTERVAL_MS = 250;
/** Nodes of the data centre that are asked when prompt notices fail to come. */
const ASK_FAN_OUT = 2;

export interface ConfigFollowerParts {
  nodeId: string;
  dataCentre: string;
  /** Time in ms within which a change has to be in force. */
  configInForceMs: number;
  store: Store;
  storeEra: StoreEra;
  confirmation: ConfigConfirmation;
  /** Orders of roll-outs, which travel with configurations, if any may exist. */
  rollouts?: RolloutView | undefined;
  bus: Bus;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Where a document came from, and whether as a whole or as a change. */
interface Origin {
  source: string;
  form: 'whole' | 'change';
}

export class ConfigFollower extends Task {
  private inForce: MeshConfig | undefined;
  private readonly documents: DocumentExchange;
  private readonly keyDigests = new KeyDigests();
  private readonly delays = new NoticeDelays();
  private readonly lateNotices: LateNoticeLog;
  private readonly topic: TopicReader;
  private readonly age = new SourceAge();
  /**
   * Time in ms of the last fresh beacon of a node of a lower rank; at first that
   * of the start, as beacons arrive only once other nodes know this one.
   */
  private lowerRankNoticeMs: number;
  /** Time in ms from which others are asked, as no prompt notice has come. */
  private nextAskMs: number;
  /** True while this node reads in place of nodes of lower ranks. */
  private isActing = false;
  private readonly peers: ConfigPeers;
  private readonly times: SourceTimes;
  private stopped = false;
  private beaconTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ConfigFollowerParts) {
    super();
    const {bus, clock, configInForceMs, store, storeEra, logger} = parts;
    this.peers = new ConfigPeers(parts);
    this.lateNotices = new LateNoticeLog(logger);
    this.lowerRankNoticeMs = clock.now();
    this.nextAskMs = clock.now() + NOTICE_GAP_MS;
    this.times = sourceTimes(configInForceMs);
    const {times} = this;
    this.topic = new TopicReader({store, storeEra, clock, logger, times});
    this.documents = new DocumentExchange(configInForceMs, logger);
    bus.subscribe('view-changed', ({members}) => this.peers.update(members));
    bus.onPeerMessage('configNotice', ({body, peer}) => {
      this.onNotice(body, peer);
    });
    bus.onPeerMessage('configAsk', ({body, peer}) => this.onAsk(body, peer));
    bus.subscribe('peer-lost', ({nodeId}) => this.documents.onPeerLost(nodeId));
    storeEra.onRise(source => this.onStoreReturned(source));
  }

  /** Version in force; 0 while there is none. */
  get version(): number {
    return this.inForce?.version ?? 0;
  }

  /** True if the configuration names the service, or while there is none. */
  isServiceKnown(name: string): boolean {
    const services = this.inForce?.services;
    return !services || services.some(service => service.name === name);
  }

  /** Path of a service's health check; undefined if it is not known. */
  healthCheckPath(service: string): string | undefined {
    const services = this.inForce?.services ?? [];
    return services.find(({name}) => name === service)?.healthCheckPath;
  }

  override start(): void {
    const {confirmation} = this.parts;
    void this.follow();
    this.beaconTimer = setInterval(() => {
      this.sendBeacon();
      confirmation.search(() => this.peers.pickAny());
    }, BEACON_INTERVAL_MS);
  }

  override stop(): void {
    this.stopped = true;
    clearInterval(this.beaconTimer);
  }

  /** True while this node forwards what it reads to its data centre. */
  private get isForwarding(): boolean {
    return this.peers.rank === 0 || this.isActing;
  }

  /** Time in ms until this node has to read the store itself. */
  private get untilTakeoverMs(): number {
    const {isActing, times} = this;
    const {confirmedMs} = this.age;
    const {rank} = this.peers;
    const dueMs = takeoverMs({rank, isActing, confirmedMs}, times);
    return dueMs - this.parts.clock.now();
  }

  private async follow(): Promise<void> {
    while (!this.stopped) {
      const {untilTakeoverMs} = this;
      if (this.inForce && untilTakeoverMs >= 0) {
        this.topic.reset();
        this.askAfterGap();
        await sleep(Math.min(SOURCE_CHECK_INTERVAL_MS, untilTakeoverMs + 1));
        continue;
      }
      // Behind a full link, a change of a peer is here long before a document.
      if (this.inForce && !this.isForwarding) this.askPeers();
      const startMs = this.parts.clock.now();
      const result = await this.readStore();
      if (result === 'failed') {
        this.askPeers();
        await sleep(this.retryDelayMs());
      } else if (result === 'superseded') {
        // Peers may have a version that the store has lost.
        for (const peerId of this.peers.pickRemote()) this.ask(peerId);
      } else if (result === 'unchanged') {
        // A store that does not wait must not be called without a pause.
        const readMs = this.parts.clock.now() - startMs;
        await sleep(Math.max(0, MIN_READ_INTERVAL_MS - readMs));
      }
    }
  }

  private async readStore(): Promise<TopicRead['result']> {
    const {confirmation} = this.parts;
    const startMs = confirmation.now();
    const read = await this.topic.read();
    if (read.result === 'changed' || read.result === 'unchanged') {
      this.age.recordRead(read.timing);
      const found = this.applyPage(read.page);
      confirmation.recordRead(read.timing, startMs, found);
      this.startActing();
    }
    return read.result;
  }

  /**
   * Tells the nodes of this data centre, as few of them call the store. Their
   * long polls may hang, and what they wrote may be lost.
   */
  private onStoreReturned(source: EraSource): void {
    if (source === 'store' && this.inForce) this.announce(this.createNotice());
  }

  /** From now on forwards what it reads, as no node of a lower rank does. */
  private startActing(): void {
    const sinceNoticeMs = this.parts.clock.now() - this.lowerRankNoticeMs;
    const hasLowerRank = sinceNoticeMs <= this.times.staleAfterMs;
    if (this.isForwarding || hasLowerRank || !this.inForce) return;
    this.isActing = true;
    const {version, age, peers} = this;
    const {transitMs} = age;
    const {rank} = peers;
    this.parts.logger.info(
      {rank, version, sinceNoticeMs, transitMs},
      'reader: takes over',
    );
    this.sendBeacon();
  }

  /** Returns the version of the page's newest document, if it has a valid one. */
  private applyPage({records}: KeyedPage): number | undefined {
    const hasNewOrder = this.parts.rollouts?.applyRecords(records) ?? false;
    const before = this.version;
    const found = this.applyConfig(records);
    const isNewer = this.version > before;
    if (isNewer && this.isForwarding) this.forward(before);
    else if (hasNewOrder && this.inForce && this.isForwarding) {
      this.announce(this.createNotice());
    }
    return found;
  }

  private applyConfig(records: KeyedPage['records']): number | undefined {
    const newest = records.filter(({key}) => key === CONFIG_KEY).at(-1);
    if (!newest || newest.value.length === 0) return undefined;
    return this.adopt(newest.value, {source: 'store', form: 'whole'});
  }

  /**
   * Sends the version in force to the nodes of this data centre, for those that
   * have version `before`. Others request what they lack.
   */
  private forward(before: number): void {
    const content = this.documents.contentForAll(before);
    const {length} = content.change?.delta ?? content.document ?? [];
    const maySend = maySendToAll(length, this.age.transitMs);
    this.announce(this.createNotice(maySend ? content : {}));
  }

  /**
   * Puts a document in force if it is valid and newer. Returns its version;
   * undefined if it is not valid.
   */
  private adopt(
    document: Uint8Array,
    origin: Origin,
    change?: DocumentChange,
  ): number | undefined {
    const {logger, bus} = this.parts;
    const config = parsePublishedConfig(document, this.keyDigests);
    if (config.isErr()) {
      const findings = formatFindings(config.error);
      logger.error({findings, kept: this.version}, 'configuration refused');
      return undefined;
    }
    const {version, tenantFindings} = config.value;
    if (version <= this.version) return version;
    const before = this.version;
    this.inForce = config.value;
    this.documents.add(version, document, change);
    const bytes = document.length;
    logger.info({version, before, bytes, ...origin}, 'configuration in force');
    if (tenantFindings) logger.warn({tenantFindings}, 'tenants left out');
    bus.publish('mesh-config', {config: config.value});
    return version;
  }

  private onNotice(notice: ConfigNotice, peer: Peer): void {
    const {nodeId: peerId} = peer;
    const {version, sentMs, storeEra} = notice;
    if (storeEra !== undefined) this.parts.storeEra.observe(storeEra, 'peer');
    if (isConfirmation(notice)) {
      this.parts.confirmation.recordNotice(notice);
      return;
    }
    const now = this.parts.clock.now();
    const delayMs =
      sentMs === undefined ? 0 : this.delays.record(peer, sentMs, now);
    const ageMs = notice.ageMs + delayMs;
    this.parts.rollouts?.applyNotices(notice.rollouts ?? [], delayMs);
    this.lateNotices.record({peerId, version, delayMs, ageMs}, now);
    if (delayMs <= BEACON_INTERVAL_MS) this.nextAskMs = now + NOTICE_GAP_MS;
    if (version > this.version) {
      const document = this.documents.documentOf(notice);
      const form = notice.change ? 'change' : 'whole';
      if (document) {
        this.adopt(document, {source: peerId, form}, notice.change);
      } else if (this.documents.startRequest(peerId, now)) {
        this.ask(peerId, version);
      }
    }
    // A version that was not adopted does not confirm that the source works.
    if (version !== this.version) return;
    this.age.recordConfirmed(now - ageMs);
    this.parts.confirmation.recordNotice(notice);
    this.parts.confirmation.askSource(peerId);
    if (this.peers.isOfLowerRank(peerId) && isBeacon(notice)) {
      this.onLowerRankBeacon(peerId, ageMs);
    }
  }

  private onLowerRankBeacon(peerId: string, ageMs: number): void {
    if (ageMs > this.times.promptAgeMs) return;
    this.lowerRankNoticeMs = this.parts.clock.now();
    if (!this.isActing) return;
    this.parts.logger.info({peerId, ageMs}, 'reader: hands back');
    this.isActing = false;
  }

  private onAsk(ask: ConfigAsk, {nodeId: peerId}: Peer): void {
    const {version} = this;
    const {version: have} = ask;
    const answer = this.parts.confirmation.answerTo(ask);
    if (version > have) {
      this.parts.logger.info({peerId, have, version}, 'configuration sent');
      const content = this.documents.contentFor(have);
      this.send(peerId, this.createNotice({...content, ...answer}));
    } else if (version === have && answer.nonce !== undefined) {
      this.send(peerId, this.createNotice(answer));
    }
  }

  /** Announces the version in force while the reads of this node succeed. */
  private sendBeacon(): void {
    if (!this.inForce || !this.isForwarding) return;
    const ageMs = this.ageOnArrivalMs(this.age.ownReadMs);
    if (ageMs > this.times.staleAfterMs) return;
    this.announce(this.createNotice({ageMs}));
  }

  /** Age in ms that a message has on its arrival, behind the link of this node. */
  private ageOnArrivalMs(confirmedMs: number): number {
    return this.parts.clock.now() - confirmedMs + this.age.transitMs;
  }

  private announce(notice: Message): void {
    for (const nodeId of this.peers.local) this.send(nodeId, notice);
  }

  /** Asks a node of this data centre and any other one for a newer version. */
  private askPeers(): void {
    for (const peerId of this.peers.pickAny()) this.ask(peerId);
  }

  /** Asks nodes of this data centre while prompt notices fail to come. */
  private askAfterGap(): void {
    const now = this.parts.clock.now();
    if (now < this.nextAskMs) return;
    this.nextAskMs = now + NOTICE_GAP_MS;
    for (const peerId of this.peers.sampleLocal(ASK_FAN_OUT)) this.ask(peerId);
  }

  private ask(peerId: string, announced?: number): void {
    const {ask} = this.documents;
    this.parts.logger.info({peerId, ...ask, announced}, 'configuration asked');
    const body = {...ask, ...this.parts.confirmation.openAsk()};
    this.send(peerId, {type: 'configAsk', body});
  }

  private createNotice(content: Partial<ConfigNotice> = {}): Message {
    const sentMs = this.parts.clock.now();
    const ageMs = this.ageOnArrivalMs(this.age.confirmedMs);
    const {version} = this;
    const body: ConfigNotice = {version, ageMs, sentMs, ...content};
    const rollouts = this.parts.rollouts?.notices() ?? [];
    if (rollouts.length > 0) body.rollouts = rollouts;
    const storeEra = this.parts.storeEra.current;
    if (storeEra !== undefined) body.storeEra = storeEra;
    return {type: 'configNotice', body};
  }

  private send(nodeId: string, message: Message): void {
    this.parts.bus.publish('send-peer', {nodeId, message});
  }

  private retryDelayMs(): number {
    const {random} = this.parts;
    const capMs = retryCapMs(this.peers.rank);
    return (
      RETRY_BASE_MS + random.jitter(RETRY_BASE_MS, this.topic.failures, capMs)
    );
  }
}
