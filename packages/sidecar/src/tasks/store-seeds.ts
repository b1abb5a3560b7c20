/** Directory of the nodes' endpoints, in a keyed topic of the store. */

import type {Endpoint, ServerStart} from '@turmericmill/membership';
import {SeedDirectory} from '@turmericmill/node';
import type {Store} from '@turmericmill/platform-adapter';
import {sleep, type Clock, type RandomSource} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {isOutdated, type Era, type StoreEra} from '../store-era.js';
import {restoreAtMs} from './entry-restore.js';
import {encodeNodeEntry, parseNodeEntry, type NodeEntry} from './node-entry.js';

const NODES_TOPIC = 'keyed.nodes';
/** Delay in ms of another read while this node knows no other node. */
const REREAD_DELAY_MS = 1_500;
/** Epoch of the first entry of a node; all others have a time in ms. */
const FIRST_EPOCH = 1;
/** Base and cap in ms of the jittered delay between attempts. */
const RETRY_BASE_MS = 250;
const RETRY_CAP_MS = 4_000;

export interface StoreSeedsParts {
  nodeId: string;
  own: Endpoint;
  /** True if no node of the fleet has started before. */
  isFirstStart: boolean;
  store: Store;
  storeEra: StoreEra;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Number of live hosts that this node knows, with its own. */
  hostCount(): number;
  /** Called with the ids of all nodes that have an entry. */
  onNodes?(nodeIds: string[]): void;
  /** Called once with the departed starts that the entry of this node names. */
  onDeparted(departed: readonly ServerStart[]): void;
}

/**
 * Reads the entries of all nodes at the start, and again only while this node
 * is alone. Each call of the store has a price, so the entry of this node is
 * written only if the store does not have it: a restart takes one call. It is
 * written again once the store has returned from a copy, which may lack it.
 */
export class StoreSeeds extends SeedDirectory {
  /** Set when the reads end; departures are still written. */
  private stopped = false;
  /** Set when the writes end. */
  private closed = false;
  private departed: readonly ServerStart[] = [];
  /** Epoch of the last write of the entry. */
  private epoch = 0;
  private lastWrite: Promise<boolean> = Promise.resolve(true);
  /** Era in which the store had the entry; unset before its first answer. */
  private storedIn: {era: Era} | undefined;
  /** Era that was known when the entries were read. */
  private readIn: Era;
  private restoreTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: StoreSeedsParts) {
    super();
    parts.storeEra.onRise(() => this.scheduleRestore());
  }

  /**
   * Resolves with true once the entry of this node names the departed starts,
   * with false if this directory was closed before.
   */
  saveDeparted(departed: readonly ServerStart[]): Promise<boolean> {
    this.departed = departed;
    return this.writeInOrder();
  }

  /** Waits until all departures are stored or `deadlineMs`, then closes. */
  async flush(deadlineMs: number): Promise<void> {
    if (this.isLost && this.departed.length > 0) void this.writeInOrder();
    const remainingMs = Math.max(0, deadlineMs - this.parts.clock.now());
    await Promise.race([this.lastWrite, sleep(remainingMs)]);
    this.close();
  }

  /** Ends all attempts to read or write. */
  close(): void {
    this.stopped = true;
    this.closed = true;
    clearTimeout(this.restoreTimer);
  }

  override start(onSeeds: (endpoints: Endpoint[]) => void): void {
    void this.run(onSeeds);
  }

  override stop(): void {
    this.stopped = true;
  }

  /** Does nothing: the store keeps the entry that was written at the start. */
  override append(): void {
    return;
  }

  private async run(onSeeds: (endpoints: Endpoint[]) => void): Promise<void> {
    // Nodes that start together first write, so that their reads find others.
    if (this.parts.isFirstStart) {
      await this.retryUntilDone(
        () => this.writeEntry(FIRST_EPOCH),
        () => this.stopped,
      );
    }
    const entries = await this.readUntilDone(onSeeds);
    const own = entries.find(({nodeId}) => nodeId === this.parts.nodeId);
    this.restore(own);
    if (!own || !this.isAtOwnEndpoint(own)) {
      await this.writeUntilDone(() => this.stopped);
    } else {
      this.recordStored(this.readIn);
    }
    for (;;) {
      await sleep(REREAD_DELAY_MS);
      if (this.stopped || this.parts.hostCount() > 1) return;
      await this.readUntilDone(onSeeds);
    }
  }

  /** Keeps what the entry names and what has departed meanwhile. */
  private restore({departed = [], epoch = 0}: Partial<NodeEntry> = {}): void {
    if (this.stopped) return;
    this.parts.logger.info({departed, epoch}, 'departures restored');
    this.epoch = Math.max(this.epoch, epoch);
    this.departed = [...departed, ...this.departed];
    this.parts.onDeparted(departed);
  }

  /** True if the store has returned from a copy since it had the entry. */
  private get isLost(): boolean {
    const {current} = this.parts.storeEra;
    return (
      this.storedIn !== undefined && isOutdated(this.storedIn.era, current)
    );
  }

  /** Records that the store had the entry in `era`, or in the first one known. */
  private recordStored(era: Era): void {
    this.storedIn = {era: era ?? this.parts.storeEra.current};
    this.scheduleRestore();
  }

  private scheduleRestore(): void {
    if (!this.isLost || this.closed || this.restoreTimer) return;
    const {clock, random, hostCount} = this.parts;
    const hasDepartures = this.departed.length > 0;
    const now = clock.now();
    const entry = {hostCount: hostCount(), hasDepartures};
    const delayMs = restoreAtMs(entry, random, now) - now;
    this.restoreTimer = setTimeout(() => this.restoreEntry(), delayMs);
  }

  private restoreEntry(): void {
    this.restoreTimer = undefined;
    if (!this.isLost) return;
    this.parts.logger.info({departed: this.departed}, 'entry written again');
    void this.writeInOrder();
  }

  /** Writes follow one another, so that a late one does not undo a newer one. */
  private writeInOrder(): Promise<boolean> {
    this.lastWrite = this.lastWrite.then(() =>
      this.writeUntilDone(() => this.closed),
    );
    return this.lastWrite;
  }

  private writeUntilDone(isOver: () => boolean): Promise<boolean> {
    return this.retryUntilDone(() => {
      this.epoch = Math.max(this.epoch + 1, this.parts.clock.now());
      return this.writeEntry(this.epoch);
    }, isOver);
  }

  private async readUntilDone(
    onSeeds: (endpoints: Endpoint[]) => void,
  ): Promise<NodeEntry[]> {
    let entries: NodeEntry[] | undefined;
    await this.retryUntilDone(
      async () => {
        entries = await this.readEntries();
        return entries !== undefined;
      },
      () => this.stopped,
    );
    if (entries) this.parts.onNodes?.(entries.map(({nodeId}) => nodeId));
    if (entries) onSeeds(entries.map(({endpoint}) => endpoint));
    return entries ?? [];
  }

  private isAtOwnEndpoint({endpoint}: NodeEntry): boolean {
    const {own} = this.parts;
    return endpoint.address === own.address && endpoint.port === own.port;
  }

  /** Resolves with false if `isOver` before the step has succeeded. */
  private async retryUntilDone(
    step: () => Promise<boolean>,
    isOver: () => boolean,
  ): Promise<boolean> {
    for (let failures = 0; !isOver(); failures++) {
      if (await step()) return true;
      const jitterMs = this.parts.random.jitter(
        RETRY_BASE_MS,
        failures,
        RETRY_CAP_MS,
      );
      await sleep(RETRY_BASE_MS + jitterMs);
    }
    return false;
  }

  /** Writes the entry of this node, unless a newer one has been written. */
  private async writeEntry(epoch: number): Promise<boolean> {
    const {departed} = this;
    const {nodeId, own: endpoint, store, logger} = this.parts;
    const value = encodeNodeEntry({nodeId, endpoint, departed, epoch});
    const fence = {producer: nodeId, epoch};
    const era = this.parts.storeEra.current;
    const put = await store.put(NODES_TOPIC, nodeId, value, fence);
    if (put.isOk() || put.error.code === 'fenced') {
      this.recordStored(era);
      return true;
    }
    logger.info({err: put.error}, 'endpoint not written');
    return false;
  }

  /** Returns undefined if the store does not answer. */
  private async readEntries(): Promise<NodeEntry[] | undefined> {
    const {store, storeEra, logger} = this.parts;
    this.readIn = storeEra.current;
    const page = await store.newest(NODES_TOPIC);
    if (page.isErr()) {
      logger.info(
        {err: page.error},
        'endpoints of the nodes not read from the store',
      );
      return undefined;
    }
    return page.value.records.flatMap(record => parseNodeEntry(record) ?? []);
  }
}
