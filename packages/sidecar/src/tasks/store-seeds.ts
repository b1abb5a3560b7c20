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
/** Delay in ms of a second read, for nodes that started at the same time. */
const SECOND_READ_DELAY_MS = 1_500;
/** Base and cap in ms of the jittered delay between attempts. */
const RETRY_BASE_MS = 250;
const RETRY_CAP_MS = 4_000;

/** Writes the endpoint of this node once, at its start, and then reads all. */
export class StoreSeeds extends SeedDirectory {
  private stopped = false;

  constructor(
    private readonly nodeId: string,
    private readonly own: Endpoint,
    private readonly store: Store,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {
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
    await this.retryUntilDone(() => this.writeEndpoint());
    await this.retryUntilDone(() => this.readEndpoints(onSeeds));
    await sleep(SECOND_READ_DELAY_MS);
    await this.retryUntilDone(() => this.readEndpoints(onSeeds));
  }

  private async retryUntilDone(step: () => Promise<boolean>): Promise<void> {
    for (let failures = 0; !this.stopped; failures++) {
      if (await step()) return;
      const jitterMs = this.random.jitter(
        RETRY_BASE_MS,
        failures,
        RETRY_CAP_MS,
      );
      await sleep(RETRY_BASE_MS + jitterMs);
    }
  }

  /** Writes the endpoint of this node; repeating the write has no effect. */
  private async writeEndpoint(): Promise<boolean> {
    const value = Buffer.from(JSON.stringify(this.own));
    const put = await this.store.put(NODES_TOPIC, this.nodeId, value);
    if (put.isErr()) this.logger.info({err: put.error}, 'endpoint not written');
    return put.isOk();
  }

  private async readEndpoints(
    onSeeds: (endpoints: Endpoint[]) => void,
  ): Promise<boolean> {
    const page = await this.store.newest(NODES_TOPIC);
    if (page.isErr()) {
      this.logger.info(
        {err: page.error},
        'endpoints of the nodes not read from the store',
      );
      return false;
    }
    onSeeds(page.value.records.flatMap(record => parseEntry(record) ?? []));
    return true;
  }
}

/** Returns undefined for a record of another writer that is no endpoint. */
function parseEntry({value}: KeyedRecord): Endpoint | undefined {
  let entry: unknown;
  try {
    entry = JSON.parse(Buffer.from(value).toString());
  } catch {
    // Whatever the parser cannot read is no endpoint.
    return undefined;
  }
  const {address, port} = (entry ?? {}) as Partial<Endpoint>;
  return isIpAddress(address) && isPort(port) ? {address, port} : undefined;
}
