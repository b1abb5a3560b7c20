/** Endpoints of the nodes in a keyed topic of the store. */

import type {Endpoint} from '@turmericmill/membership';
import {SeedDirectory} from '@turmericmill/node';
import type {KeyedRecord, Store} from '@turmericmill/platform-adapter';
import {sleep, type RandomSource} from '@turmericmill/utils';
import type Logger from 'bunyan';

const NODES_TOPIC = 'keyed.nodes';
/** Time in ms after the first read at which those are read who started too. */
const SECOND_READ_MS = 1_500;
/** Base and cap in ms of the jittered time between tries. */
const RETRY_BASE_MS = 250;
const RETRY_CAP_MS = 4_000;

/** Each node writes its endpoint once, at its start. */
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

  /** The entry of the start is kept by the store: nothing to renew. */
  override append(): void {
    return;
  }

  private async run(onSeeds: (endpoints: Endpoint[]) => void): Promise<void> {
    await this.untilDone(() => this.enter());
    await this.untilDone(() => this.read(onSeeds));
    await sleep(SECOND_READ_MS);
    await this.untilDone(() => this.read(onSeeds));
  }

  private async untilDone(step: () => Promise<boolean>): Promise<void> {
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

  /** Writing the same entry twice does no harm. */
  private async enter(): Promise<boolean> {
    const value = Buffer.from(JSON.stringify(this.own));
    const result = await this.store.put(NODES_TOPIC, this.nodeId, value);
    if (result.isErr()) this.logger.info({err: result.error}, 'not entered');
    return result.isOk();
  }

  private async read(
    onSeeds: (endpoints: Endpoint[]) => void,
  ): Promise<boolean> {
    const page = await this.store.newest(NODES_TOPIC);
    if (page.isErr()) {
      this.logger.info({err: page.error}, 'nodes not read');
      return false;
    }
    onSeeds(page.value.records.flatMap(record => parseEntry(record) ?? []));
    return true;
  }
}

/** Undefined for what another writer has left there. */
function parseEntry({value}: KeyedRecord): Endpoint | undefined {
  let entry: unknown;
  try {
    entry = JSON.parse(Buffer.from(value).toString());
  } catch (err) {
    if (err instanceof SyntaxError) return undefined;
    throw err;
  }
  const {address, port} = (entry ?? {}) as Partial<Endpoint>;
  if (typeof address !== 'string' || !Number.isInteger(port)) return undefined;
  return {address, port: port as number};
}
