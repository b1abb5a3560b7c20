/**
 * Reads and appends endpoints of nodes in the log's `seeds` stream. While the
 * log is down, the configured seeds and those read before remain in use.
 */

import type {Endpoint} from '@turmericmill/membership';
import type {LogClient, LogRecord} from '@turmericmill/platform';
import {
  isIpAddress,
  isPort,
  type Clock,
  type RandomSource,
} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {SeedDirectory} from './seed-directory.js';

/** Maximum number of records read, counted from the newest. */
const MAX_RECORDS = 200;

/** Average time in ms between two reads. */
const READ_INTERVAL_MS = 5 * 60 * 1000;

/** Base and cap in ms of the jittered delay between attempts. */
const RETRY_BASE_MS = 500;
const RETRY_CAP_MS = 30_000;

/** Age in ms from which the endpoint of a record is ignored. */
const MAX_SEED_AGE_MS = 60 * 60 * 1000;

/** Record of the `seeds` stream. */
interface SeedRecord extends Endpoint {
  atMs: number;
}

export class SeedStream extends SeedDirectory {
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;
  private failures = 0;
  private onSeeds: (endpoints: Endpoint[]) => void = () => undefined;

  constructor(
    private readonly log: LogClient,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {
    super();
  }

  /** Reads periodically; the first read follows after a jittered delay. */
  override start(onSeeds: (endpoints: Endpoint[]) => void): void {
    this.onSeeds = onSeeds;
    this.scheduleRead(this.random.jitter(RETRY_BASE_MS, 0, RETRY_CAP_MS));
  }

  override stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  /**
   * Appends an endpoint. A failure is only logged, because the caller appends
   * its endpoint again periodically.
   */
  override append({address, port}: Endpoint): void {
    const record: SeedRecord = {address, port, atMs: this.clock.now()};
    void this.log.append('seeds', JSON.stringify(record)).then(result => {
      if (result.isErr()) {
        this.logger.info(
          {err: result.error},
          'cannot append the endpoint of this node to the seed stream',
        );
      }
    });
  }

  private scheduleRead(delayMs: number): void {
    if (this.stopped) return;
    this.timer = setTimeout(() => void this.read(), delayMs);
  }

  private async read(): Promise<void> {
    const bounds = await this.log.bounds('seeds');
    if (bounds.isErr()) {
      this.scheduleRetry();
      return;
    }
    const {earliest, next} = bounds.value;
    const from = Math.max(earliest, next - MAX_RECORDS);
    const options = {limit: MAX_RECORDS, waitMs: 0};
    const page = await this.log.read('seeds', from, options);
    if (page.isErr()) {
      this.scheduleRetry();
      return;
    }
    this.failures = 0;
    if (!this.stopped) this.onSeeds(this.endpointsOf(page.value.records));
    this.scheduleRead((0.5 + this.random.next()) * READ_INTERVAL_MS);
  }

  private scheduleRetry(): void {
    const delayMs = this.random.jitter(
      RETRY_BASE_MS,
      this.failures,
      RETRY_CAP_MS,
    );
    this.failures += 1;
    this.scheduleRead(RETRY_BASE_MS + delayMs);
  }

  private endpointsOf(records: readonly LogRecord[]): Endpoint[] {
    const minAtMs = this.clock.now() - MAX_SEED_AGE_MS;
    const endpoints = new Map<string, Endpoint>();
    for (const {body} of records) {
      const record = parseSeed(body);
      if (!record || record.atMs < minAtMs) continue;
      const {address, port} = record;
      endpoints.set(`${address}:${port}`, {address, port});
    }
    return [...endpoints.values()];
  }
}

/** Parses `ip:port`; undefined if it is malformed. */
export function parseEndpoint(text: string): Endpoint | undefined {
  const colon = text.lastIndexOf(':');
  const port = Number(text.slice(colon + 1));
  if (colon <= 0 || !isPort(port)) return undefined;
  const address = text.slice(0, colon).replace(/^\[|\]$/g, '');
  return {address, port};
}

function parseSeed(body: string): SeedRecord | undefined {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return undefined;
  }
  const {address, port, atMs} = (value ?? {}) as Partial<SeedRecord>;
  if (!isIpAddress(address) || !isPort(port)) return undefined;
  return typeof atMs === 'number' ? {address, port, atMs} : undefined;
}
