/**
 * Meters customers' calls and exchanges the counts within the region, to refuse
 * calls of customers whose balance is used up.
 */

import type {ResourceMap} from '@turmericmill/config';
import type {LogClient} from '@turmericmill/platform';
import {
  BalanceGate,
  UsageMeter,
  selectUsageCollector,
  type CallCounts,
  type UsageLedger,
  type UsageRow,
} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';

import type {Bus} from '../bus.js';
import {Task} from '../task.js';
import {UsageLog} from './usage-log.js';

/** Intervals and delays of the task, in ms. */
export interface UsageTimings {
  /** Interval at which due reports, appends and row closings are handled. */
  tickMs: number;
  /** Interval between reports of all changed counts. */
  reportIntervalMs: number;
  /** Interval between reports for customers near their limit. */
  nearLimitIntervalMs: number;
  /** Minimum interval between two appends of rows to the log. */
  appendIntervalMs: number;
  /** Minimum interval between two reports of totals to the region's nodes. */
  totalsIntervalMs: number;
  /**
   * Time after which a node starts a new row, because its old one may have been
   * closed. It restarts whenever a report interval ends, also if no count has
   * changed, so that it passes only while the task does not run, as on a paused
   * host.
   */
  rolloverMs: number;
  /** Maximum age of a row; less than `CLOSED_RETENTION_MS` of the ledger. */
  maxRowAgeMs: number;
  /** Time after which the row of a node that is no longer alive is closed. */
  closeAfterMs: number;
}

export const USAGE_TIMINGS: UsageTimings = {
  tickMs: 500,
  reportIntervalMs: 60_000,
  nearLimitIntervalMs: 5_000,
  appendIntervalMs: 2_000,
  totalsIntervalMs: 2_000,
  rolloverMs: 5 * 60_000,
  maxRowAgeMs: 12 * 60 * 60_000,
  closeAfterMs: 10 * 60_000,
};

/** Identity of this node; the incarnation differs at each start. */
export interface UsageTaskIdentity {
  nodeId: string;
  region: string;
  incarnation: number;
}

/** Dependencies of `UsageTask`. */
export interface UsageTaskParts {
  log: LogClient;
  bus: Bus;
  clock: Clock;
  random: RandomSource;
}

export class UsageTask extends Task {
  private readonly gate = new BalanceGate();
  private readonly meter: UsageMeter;
  private usageLog: UsageLog | undefined;
  private members: string[] = [];
  private collector: string | undefined;
  /** Time in ms at which to close the row of a node no longer alive, by id. */
  private readonly closeAtMsByNode = new Map<string, number>();
  private meteredCustomers = new Set<string>();
  private nextTotalsAtMs = 0;
  private isStarted = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly identity: UsageTaskIdentity,
    private readonly parts: UsageTaskParts,
    private readonly timings = USAGE_TIMINGS,
  ) {
    super();
    const {bus, clock} = parts;
    const {nodeId} = identity;
    this.meter = new UsageMeter({...timings, nodeId}, clock.now());
    bus.subscribe('view-changed', ({members}) => this.setMembers(members));
    bus.subscribe('config-in-force', ({state}) => {
      this.configure(state.resources);
    });
    bus.onPeerMessage('usageReport', ({body}) => {
      for (const row of body.nodes) this.usageLog?.add(row);
    });
    bus.onPeerMessage('usageTotals', ({body}) => this.gate.update(body.calls));
  }

  override start(): void {
    this.isStarted = true;
    this.selectCollector();
    this.timer = setInterval(() => void this.tick(), this.timings.tickMs);
  }

  /** Reports the remaining counts, so that they are not lost. */
  override stop(): void {
    clearInterval(this.timer);
    this.isStarted = false;
    const row = this.meter.takeFinalRow();
    if (row) this.report(row);
    void this.usageLog?.tick();
    this.usageLog?.stop();
  }

  allows(customer: string): boolean {
    return this.gate.allows(customer);
  }

  /** Counts a call; only customers with a balance are metered. */
  count(customer: string): void {
    if (this.meteredCustomers.has(customer)) this.meter.count(customer);
  }

  private async tick(): Promise<void> {
    const now = this.parts.clock.now();
    const row = this.meter.takeDueRow(
      customer => this.gate.isNearLimit(customer),
      now,
    );
    if (row) this.report(row);
    await this.usageLog?.tick();
    await this.closeDepartedNodes(now);
  }

  private report(row: UsageRow): void {
    const {nodeId} = this.identity;
    if (this.collector === nodeId) this.usageLog?.add(row);
    else if (this.collector !== undefined) {
      const body = {nodes: [row]};
      const message = {type: 'usageReport', body} as const;
      this.parts.bus.publish('send-peer', {nodeId: this.collector, message});
    }
  }

  private setMembers(members: readonly MemberRecord[]): void {
    const {region} = this.identity;
    const inRegion = members.filter(member => member.region === region);
    const alive = inRegion.filter(member => member.status === 'alive');
    const ids = alive.map(member => member.id).sort();
    const presentIds = new Set(ids);
    const closeAtMs = this.parts.clock.now() + this.timings.closeAfterMs;
    for (const id of this.members) {
      if (!presentIds.has(id)) this.closeAtMsByNode.set(id, closeAtMs);
    }
    for (const id of ids) this.closeAtMsByNode.delete(id);
    this.members = ids;
    this.selectCollector();
  }

  /**
   * Selects the region's collector. Starts the usage log when this node becomes
   * the collector, and stops it when this node no longer is.
   */
  private selectCollector(): void {
    const {nodeId, region} = this.identity;
    const collector = selectUsageCollector(region, this.members);
    if (collector !== this.collector) this.meter.markAllChanged();
    this.collector = collector;
    const isCollector = this.isStarted && collector === nodeId;
    if (isCollector && !this.usageLog) {
      this.usageLog = this.createLog();
      this.usageLog.start();
    } else if (!isCollector) {
      this.usageLog?.stop();
      this.usageLog = undefined;
    }
  }

  private createLog(): UsageLog {
    const {nodeId, incarnation} = this.identity;
    const {log, clock, random} = this.parts;
    const writer = `${nodeId}:${incarnation.toString(36)}`;
    const onFolded = (ledger: UsageLedger) => this.sendTotals(ledger);
    const {appendIntervalMs} = this.timings;
    return new UsageLog({
      writer,
      log,
      clock,
      random,
      appendIntervalMs,
      onFolded,
    });
  }

  /** Sends the region's nodes the totals of customers near their limit. */
  private sendTotals(ledger: UsageLedger): void {
    const all = [...this.meteredCustomers].map(
      name => [name, ledger.total(name)] as const,
    );
    this.gate.update(Object.fromEntries(all));
    const now = this.parts.clock.now();
    const near = all.filter(([customer]) => this.gate.isNearLimit(customer));
    if (near.length === 0 || now < this.nextTotalsAtMs) return;
    this.nextTotalsAtMs = now + this.timings.totalsIntervalMs;
    const calls: CallCounts = Object.fromEntries(near);
    const body = {offset: ledger.next, calls};
    for (const id of this.members) {
      if (id === this.identity.nodeId) continue;
      const message = {type: 'usageTotals', body} as const;
      this.parts.bus.publish('send-peer', {nodeId: id, message});
    }
  }

  private async closeDepartedNodes(nowMs: number): Promise<void> {
    const due = [...this.closeAtMsByNode]
      .filter(([, closeAtMs]) => nowMs >= closeAtMs)
      .map(([nodeId]) => nodeId);
    if (due.length === 0) return;
    const closed = (await this.usageLog?.closeRows(due)) ?? true;
    if (closed) for (const nodeId of due) this.closeAtMsByNode.delete(nodeId);
  }

  /**
   * Sets the customers' balances. For a name that two teams use, the larger
   * balance applies, so that no customer is refused too early.
   */
  private configure(resources: ResourceMap): void {
    const prepaid = new Map<string, number>();
    for (const resource of resources.values()) {
      if (resource.kind !== 'customer') continue;
      const calls = resource.spec.prepaidCalls ?? Infinity;
      const previous = prepaid.get(resource.name) ?? 0;
      prepaid.set(resource.name, Math.max(previous, calls));
    }
    this.gate.configure(prepaid);
    const metered = [...prepaid].filter(([, calls]) => calls !== Infinity);
    this.meteredCustomers = new Set(metered.map(([name]) => name));
  }
}
