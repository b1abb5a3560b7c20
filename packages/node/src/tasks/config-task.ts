/** Brings each accepted version of the configuration in force. */

import {
  emptyConfigState,
  foldRecord,
  type ConfigState,
} from '@turmericmill/distribution';
import type {LogClient, LogRecord} from '@turmericmill/platform';
import {RoutingTable} from '@turmericmill/routing';
import type {RandomSource} from '@turmericmill/utils';
import type Logger from 'bunyan';

import type {Bus} from '../bus.js';
import {Task} from '../task.js';

const PAGE_RECORDS = 100;
const LONG_POLL_MS = 10_000;
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 5000;

/** Tails the log's configuration stream and folds it. */
export class ConfigTask extends Task {
  state: ConfigState = emptyConfigState();
  private stopped = false;
  private from = 0;
  private failures = 0;

  constructor(
    private readonly log: LogClient,
    private readonly bus: Bus,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {
    super();
  }

  override start(): void {
    void this.tail();
  }

  override stop(): void {
    this.stopped = true;
  }

  private async tail(): Promise<void> {
    while (!this.stopped) {
      const options = {limit: PAGE_RECORDS, waitMs: LONG_POLL_MS};
      const page = await this.log.read('config', this.from, options);
      if (this.stopped) return;
      if (page.isOk()) {
        this.failures = 0;
        this.fold(page.value.records);
      } else {
        this.logger.warn({err: page.error}, 'cannot read configuration');
        await this.backOff();
      }
    }
  }

  private fold(records: readonly LogRecord[]): void {
    const before = this.state.version;
    for (const record of records) {
      const {state, verdict} = foldRecord(this.state, record);
      this.state = state;
      this.from = record.offset + 1;
      this.logger.info({offset: record.offset, verdict}, 'publication');
    }
    if (this.state.version === before) return;
    const table = RoutingTable.build(this.state.resources);
    this.bus.publish('config-in-force', {state: this.state, table});
  }

  private async backOff(): Promise<void> {
    const ms = this.random.jitter(RETRY_BASE_MS, this.failures, RETRY_CAP_MS);
    this.failures += 1;
    await new Promise(resolve => setTimeout(resolve, ms));
  }
}
