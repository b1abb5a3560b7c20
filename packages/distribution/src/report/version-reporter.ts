/**
 * Reports which versions are in force, aggregated along the push tree of the
 * first relay. The cost at a node depends only on its children.
 */

import type {VersionReport} from '@turmericmill/wire';

import type {DistributionTiming} from '../agent/preference.js';
import type {Topology} from '../relay/topology.js';

/** Maximum number of laggards named in a report. */
export const MAX_LAGGARDS = 16;

/** Number of report intervals after which a received report expires. */
const LIFETIME_INTERVALS = 3;

interface ReceivedReport {
  report: VersionReport;
  expiresAtMs: number;
}

/** A report to send, and its recipients. */
export interface OutgoingReport {
  to: string[];
  report: VersionReport;
}

/** Receives and sends the reports of one node. */
export class VersionReporter {
  private readonly received = new Map<string, ReceivedReport>();
  private dueMs: number;
  private version = -1;
  private isBehind = false;

  constructor(
    private readonly timing: DistributionTiming,
    nowMs: number,
  ) {
    this.dueMs = nowMs + timing.reportIntervalMs;
  }

  /** The version in force at this node, as reported. */
  get inForce(): number {
    return this.version;
  }

  /** Sets the version in force at this node. */
  setVersion(version: number, nowMs: number): void {
    if (version !== this.version) this.reportSoon(nowMs);
    this.version = version;
  }

  /** Handles a report from a child or from the root of another data centre. */
  onReport(from: string, report: VersionReport, nowMs: number): void {
    const lifetimeMs = LIFETIME_INTERVALS * this.timing.reportIntervalMs;
    const before = this.received.get(from)?.report;
    const expiresAtMs = nowMs + lifetimeMs;
    this.received.set(from, {report, expiresAtMs});
    const isChanged = JSON.stringify(before) !== JSON.stringify(report);
    if (isChanged) this.reportSoon(nowMs);
  }

  /** The report to send now, if any. */
  poll(
    topology: Topology,
    isBehind: boolean,
    nowMs: number,
  ): OutgoingReport | undefined {
    this.isBehind = isBehind;
    if (nowMs < this.dueMs) return undefined;
    this.dueMs = nowMs + this.timing.reportIntervalMs;
    const {self} = topology;
    const root = topology.reportRootOf(self.dataCentre);
    if (root === undefined) return undefined;
    const report = this.subtreeReport(topology, nowMs);
    if (root === self.id) return {to: topology.otherReportRoots(), report};
    const parent = topology.treeOf(root).parentOf(self.id);
    return parent === undefined ? undefined : {to: [parent], report};
  }

  nextDeadlineMs(): number {
    return this.dueMs;
  }

  /** Report on the subtree of this node; at a root, on its data centre. */
  subtreeReport(topology: Topology, nowMs: number): VersionReport {
    const {self} = topology;
    const root = topology.reportRootOf(self.dataCentre) ?? self.id;
    const children = topology.treeOf(root).childrenOf(self.id);
    const reports = this.freshReports(children, nowMs);
    const silent = children.filter(child => !this.isFresh(child, nowMs));
    const own: VersionReport = {
      counts: {[self.dataCentre]: {[this.version]: 1}},
      laggards: [...(this.isBehind ? [self.id] : []), ...silent],
    };
    return sumReports([own, ...reports]);
  }

  /** Report on all data centres whose roots have sent a current report. */
  fleetReport(topology: Topology, nowMs: number): VersionReport {
    const roots = this.freshReports(topology.otherReportRoots(), nowMs);
    return sumReports([this.subtreeReport(topology, nowMs), ...roots]);
  }

  /** Removes the reports of departed nodes. */
  removeDeparted(topology: Topology): void {
    for (const id of this.received.keys()) {
      if (!topology.has(id)) this.received.delete(id);
    }
  }

  private freshReports(ids: readonly string[], nowMs: number): VersionReport[] {
    return ids
      .filter(id => this.isFresh(id, nowMs))
      .flatMap(id => this.received.get(id)?.report ?? []);
  }

  private isFresh(id: string, nowMs: number): boolean {
    return (this.received.get(id)?.expiresAtMs ?? -Infinity) > nowMs;
  }

  private reportSoon(nowMs: number): void {
    this.dueMs = Math.min(this.dueMs, nowMs + this.timing.reportDelayMs);
  }
}

/** Sums the counts of reports and joins their laggards up to the maximum. */
export function sumReports(reports: readonly VersionReport[]): VersionReport {
  const counts: Record<string, Record<string, number>> = {};
  for (const report of reports) {
    for (const [dataCentre, versions] of Object.entries(report.counts)) {
      const sums = (counts[dataCentre] ??= {});
      for (const [version, count] of Object.entries(versions)) {
        sums[version] = (sums[version] ?? 0) + count;
      }
    }
  }
  const laggards = reports.flatMap(report => report.laggards);
  return {counts, laggards: [...new Set(laggards)].slice(0, MAX_LAGGARDS)};
}
