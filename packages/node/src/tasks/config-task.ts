/** Brings each accepted version of the configuration in force. */

import {
  emptyConfigState,
  foldRecord,
  type ConfigState,
} from '@turmericmill/distribution';
import type {LogClient, LogRecord} from '@turmericmill/platform';
import {RoutingTable} from '@turmericmill/routing';
import type {RandomSource} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {Bus} from '../bus.js';
import type {FleetVersions} from '../fleet-versions.js';
import {Task} from '../task.js';

const PAGE_RECORDS = 100;
const LONG_POLL_MS = 10_000;
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 5000;

/** Interval in ms at which the version in force is told to all members. */
const REPORT_INTERVAL_MS = 1000;

/** Names the node whose configuration this is. */
export interface ConfigTaskIdentity {
  nodeId: string;
  dataCentre: string;
}

/** Tails the log's configuration stream and folds it. */
export class ConfigTask extends Task {
  state: ConfigState = emptyConfigState();
  private stopped = false;
  private from = 0;
  private failures = 0;
  private members: readonly MemberRecord[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly identity: ConfigTaskIdentity,
    private readonly log: LogClient,
    private readonly bus: Bus,
    private readonly fleet: FleetVersions,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {
    super();
    bus.subscribe('view-changed', ({members}) => {
      this.members = members;
      fleet.keepOnly(new Set(members.map(member => member.id)));
    });
    bus.onPeerMessage('configHave', ({body, peer}) => {
      fleet.note(peer.nodeId, peer.dataCentre, body.version);
    });
  }

  override start(): void {
    void this.tail();
    this.timer = setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  override stop(): void {
    this.stopped = true;
    clearInterval(this.timer);
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
    this.report();
  }

  private report(): void {
    const {nodeId, dataCentre} = this.identity;
    const {version, digest} = this.state;
    this.fleet.note(nodeId, dataCentre, version);
    const message = {type: 'configHave', body: {version, digest}} as const;
    for (const {id} of this.members) {
      if (id !== nodeId) this.bus.publish('send-peer', {nodeId: id, message});
    }
  }

  private async backOff(): Promise<void> {
    const ms = this.random.jitter(RETRY_BASE_MS, this.failures, RETRY_CAP_MS);
    this.failures += 1;
    await new Promise(resolve => setTimeout(resolve, ms));
  }
}
