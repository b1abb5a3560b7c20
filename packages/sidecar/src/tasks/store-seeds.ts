/** Directory of the nodes' endpoints, in a keyed topic of the store. */

import type {Endpoint} from '@turmericmill/membership';
import {SeedDirectory} from '@turmericmill/node';
import type {KeyedRecord, Store} from '@turmericmill/platform-adapter';
import {
  isIpAddress,
  isPort,
  sleep,
  type RandomSource,
} from '@turmericmill/utils';
import type Logger from 'bunyan';

const NODES_TOPIC = 'keyed.nodes';
/** Delay in ms of another read while this node knows no other node. */
const REREAD_DELAY_MS = 1_500;
/** Base and cap in ms of the jittered delay between attempts. */
const RETRY_BASE_MS = 250;
const RETRY_CAP_MS = 4_000;

/** A node that has written its endpoint. */
interface SeedEntry {
  nodeId: string;
  endpoint: Endpoint;
}

export interface StoreSeedsParts {
  nodeId: string;
  own: Endpoint;
  /** True if no node of the fleet has started before. */
  isFirstStart: boolean;
  store: Store;
  random: RandomSource;
  logger: Logger;
  /** True once this node knows another one. */
  hasPeers(): boolean;
}

/**
 * Reads the endpoints at the start, and again only while this node is alone.
 * Each call of the store has a price, so the endpoint of this node is written
 * only if the store does not have it: a restart takes one call.
 */
export class StoreSeeds extends SeedDirectory {
  private stopped = false;

  constructor(private readonly parts: StoreSeedsParts) {
    super();
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
    if (this.parts.isFirstStart) await this.writeUntilDone();
    const entries = await this.readUntilDone(onSeeds);
    if (!entries.some(entry => this.isOwn(entry))) await this.writeUntilDone();
    for (;;) {
      await sleep(REREAD_DELAY_MS);
      if (this.stopped || this.parts.hasPeers()) return;
      await this.readUntilDone(onSeeds);
    }
  }

  private async writeUntilDone(): Promise<void> {
    await this.retryUntilDone(() => this.writeEndpoint());
  }

  private async readUntilDone(
    onSeeds: (endpoints: Endpoint[]) => void,
  ): Promise<SeedEntry[]> {
    let entries: SeedEntry[] | undefined;
    await this.retryUntilDone(async () => {
      entries = await this.readEntries();
      return entries !== undefined;
    });
    if (entries) onSeeds(entries.map(({endpoint}) => endpoint));
    return entries ?? [];
  }

  private isOwn({nodeId, endpoint}: SeedEntry): boolean {
    const {nodeId: ownId, own} = this.parts;
    const {address, port} = endpoint;
    return nodeId === ownId && address === own.address && port === own.port;
  }

  private async retryUntilDone(step: () => Promise<boolean>): Promise<void> {
    for (let failures = 0; !this.stopped; failures++) {
      if (await step()) return;
      const jitterMs = this.parts.random.jitter(
        RETRY_BASE_MS,
        failures,
        RETRY_CAP_MS,
      );
      await sleep(RETRY_BASE_MS + jitterMs);
    }
  }

  /** Writes the endpoint of this node; repeating the write has no effect. */
  private async writeEndpoint(): Promise<boolean> {
    const {nodeId, own, store, logger} = this.parts;
    const value = Buffer.from(JSON.stringify(own));
    const put = await store.put(NODES_TOPIC, nodeId, value);
    if (put.isErr()) logger.info({err: put.error}, 'endpoint not written');
    return put.isOk();
  }

  /** Returns undefined if the store does not answer. */
  private async readEntries(): Promise<SeedEntry[] | undefined> {
    const {store, logger} = this.parts;
    const page = await store.newest(NODES_TOPIC);
    if (page.isErr()) {
      logger.info(
        {err: page.error},
        'endpoints of the nodes not read from the store',
      );
      return undefined;
    }
    return page.value.records.flatMap(record => parseEntry(record) ?? []);
  }
}

/** Returns undefined for a record of another writer that is no endpoint. */
function parseEntry({key, value}: KeyedRecord): SeedEntry | undefined {
  let entry: unknown;
  try {
    entry = JSON.parse(Buffer.from(value).toString());
  } catch {
    // Whatever the parser cannot read is no endpoint.
    return undefined;
  }
  const {address, port} = (entry ?? {}) as Partial<Endpoint>;
  if (!isIpAddress(address) || !isPort(port)) return undefined;
  return {nodeId: key, endpoint: {address, port}};
}
