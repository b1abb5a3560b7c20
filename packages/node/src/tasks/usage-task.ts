/** Meters customers' calls, and learns whose balance is used up. */

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

/** How often the task acts, in ms. */
export interface UsageTimings {
  tickMs: number;
  /** Between reports of all counts, and of customers near their limit. */
  reportIntervalMs: number;
  nearLimitIntervalMs: number;
  appendIntervalMs: number;
  totalsIntervalMs: number;
  /** Time without a report after which a node starts a new row. */
  rolloverMs: number;
  maxRowAgeMs: number;
  /** Time for which a node has to be gone until its row is closed. */
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

/** Names this start of this node. */
export interface UsageTaskIdentity {
  nodeId: string;
  region: string;
  incarnation: number;
}

/** What the task uses. */
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
  /** Time in ms at which each node that is gone is closed. */
  private readonly goneUntilMs = new Map<string, number>();
  private metered = new Set<string>();
  private totalsAtMs = 0;
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
      for (const row of body.nodes) this.usageLog?.take(row);
    });
    bus.onPeerMessage('usageTotals', ({body}) => this.gate.update(body.calls));
  }

  override start(): void {
    this.isStarted = true;
    this.choose();
    this.timer = setInterval(() => void this.tick(), this.timings.tickMs);
  }

  /** Reports what is left, so that nothing of it is lost. */
  override stop(): void {
    clearInterval(this.timer);
    this.isStarted = false;
    const row = this.meter.takeFinalRow();
    if (row) this.send(row);
    void this.usageLog?.tick();
    this.usageLog?.stop();
  }

  allows(customer: string): boolean {
    return this.gate.allows(customer);
  }

  /** Counts a call; only customers with a balance are metered. */
  count(customer: string): void {
    if (this.metered.has(customer)) this.meter.count(customer);
  }

  private async tick(): Promise<void> {
    const now = this.parts.clock.now();
    const row = this.meter.takeDueRow(
      customer => this.gate.isNearLimit(customer),
      now,
    );
    if (row) this.send(row);
    await this.usageLog?.tick();
    await this.closeGone(now);
  }

  private send(row: UsageRow): void {
    const {nodeId} = this.identity;
    if (this.collector === nodeId) this.usageLog?.take(row);
    else if (this.collector !== undefined) {
      const body = {nodes: [row]};
      const message = {type: 'usageReport', body} as const;
      this.parts.bus.publish('send-peer', {nodeId: this.collector, message});
    }
  }

  private setMembers(members: readonly MemberRecord[]): void {
    const {region} = this.identity;
    const own = members.filter(member => member.region === region);
    const alive = own.filter(member => member.status === 'alive');
    const ids = alive.map(member => member.id).sort();
    const present = new Set(ids);
    const closeAtMs = this.parts.clock.now() + this.timings.closeAfterMs;
    for (const id of this.members) {
      if (!present.has(id)) this.goneUntilMs.set(id, closeAtMs);
    }
    for (const id of ids) this.goneUntilMs.delete(id);
    this.members = ids;
    this.choose();
  }

  /** Follows the region's choice of its collector. */
  private choose(): void {
    const {nodeId, region} = this.identity;
    const collector = selectUsageCollector(region, this.members);
    if (collector !== this.collector) this.meter.markAllChanged();
    this.collector = collector;
    const isOwn = this.isStarted && collector === nodeId;
    if (isOwn && !this.usageLog) {
      this.usageLog = this.makeLog();
      this.usageLog.start();
    } else if (!isOwn) {
      this.usageLog?.stop();
      this.usageLog = undefined;
    }
  }

  private makeLog(): UsageLog {
    const {nodeId, incarnation} = this.identity;
    const {log, clock, random} = this.parts;
    const writer = `${nodeId}:${incarnation.toString(36)}`;
    const onFolded = (ledger: UsageLedger) => this.tellTotals(ledger);
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

  /** Tells the region's nodes the totals of customers near their limit. */
  private tellTotals(ledger: UsageLedger): void {
    const all = [...this.metered].map(
      name => [name, ledger.total(name)] as const,
    );
    this.gate.update(Object.fromEntries(all));
    const now = this.parts.clock.now();
    const near = all.filter(([customer]) => this.gate.isNearLimit(customer));
    if (near.length === 0 || now < this.totalsAtMs) return;
    this.totalsAtMs = now + this.timings.totalsIntervalMs;
    const calls: CallCounts = Object.fromEntries(near);
    const body = {offset: ledger.next, calls};
    for (const id of this.members) {
      if (id === this.identity.nodeId) continue;
      const message = {type: 'usageTotals', body} as const;
      this.parts.bus.publish('send-peer', {nodeId: id, message});
    }
  }

  private async closeGone(nowMs: number): Promise<void> {
    const due = [...this.goneUntilMs]
      .filter(([, closeAtMs]) => nowMs >= closeAtMs)
      .map(([nodeId]) => nodeId);
    if (due.length === 0) return;
    const closed = (await this.usageLog?.close(due)) ?? true;
    if (closed) for (const nodeId of due) this.goneUntilMs.delete(nodeId);
  }

  /** A name that two teams use has the larger balance: nobody is cut short. */
  private configure(resources: ResourceMap): void {
    const prepaid = new Map<string, number>();
    for (const resource of resources.values()) {
      if (resource.kind !== 'customer') continue;
      const calls = resource.spec.prepaidCalls ?? Infinity;
      const known = prepaid.get(resource.name) ?? 0;
      prepaid.set(resource.name, Math.max(known, calls));
    }
    this.gate.configure(prepaid);
    const metered = [...prepaid].filter(([, calls]) => calls !== Infinity);
    this.metered = new Set(metered.map(([name]) => name));
  }
}
