/**
 * Reports which versions are in force, summed up along the push tree of the
 * first relay. A node's cost depends on its children alone.
 */

import type {VersionReport} from '@turmericmill/wire';

import type {DistributionTiming} from '../agent/preference.js';
import type {Topology} from '../relay/topology.js';

/** Names in one report. */
export const MAX_LAGGARDS = 16;

/** Reports older than this many intervals do not count. */
const LIFETIME_INTERVALS = 3;

interface Received {
  report: VersionReport;
  expiresAtMs: number;
}

/** A report to send, and to whom. */
export interface OutgoingReport {
  to: string[];
  report: VersionReport;
}

/** The reports of one node. */
export class VersionReporter {
  private readonly received = new Map<string, Received>();
  private dueMs: number;
  private version = -1;
  private behind = false;

  constructor(
    private readonly timing: DistributionTiming,
    nowMs: number,
  ) {
    this.dueMs = nowMs + timing.reportIntervalMs;
  }

  /** The own version, as it is reported. */
  get inForce(): number {
    return this.version;
  }

  /** Notes the own version. */
  setVersion(version: number, nowMs: number): void {
    if (version !== this.version) this.soon(nowMs);
    this.version = version;
  }

  /** Takes a report of a child, or of the root of another data centre. */
  onReport(from: string, report: VersionReport, nowMs: number): void {
    const lifetimeMs = LIFETIME_INTERVALS * this.timing.reportIntervalMs;
    const before = this.received.get(from)?.report;
    const expiresAtMs = nowMs + lifetimeMs;
    this.received.set(from, {report, expiresAtMs});
    const news = JSON.stringify(before) !== JSON.stringify(report);
    if (news) this.soon(nowMs);
  }

  /** The report to send now, if it is time. */
  poll(
    topology: Topology,
    behind: boolean,
    nowMs: number,
  ): OutgoingReport | undefined {
    this.behind = behind;
    if (nowMs < this.dueMs) return undefined;
    this.dueMs = nowMs + this.timing.reportIntervalMs;
    const {self} = topology;
    const root = topology.reportRootOf(self.dataCentre);
    if (root === undefined) return undefined;
    const report = this.ownReport(topology, nowMs);
    if (root === self.id) return {to: topology.otherReportRoots(), report};
    const parent = topology.treeOf(root).parentOf(self.id);
    return parent === undefined ? undefined : {to: [parent], report};
  }

  nextDeadlineMs(): number {
    return this.dueMs;
  }

  /** The own subtree; at a root, its whole data centre. */
  ownReport(topology: Topology, nowMs: number): VersionReport {
    const {self} = topology;
    const root = topology.reportRootOf(self.dataCentre) ?? self.id;
    const children = topology.treeOf(root).childrenOf(self.id);
    const reports = this.freshReports(children, nowMs);
    const silent = children.filter(child => !this.isFresh(child, nowMs));
    const own: VersionReport = {
      counts: {[self.dataCentre]: {[this.version]: 1}},
      laggards: [...(this.behind ? [self.id] : []), ...silent],
    };
    return sumReports([own, ...reports]);
  }

  /** All data centres, as far as reports of their roots have come here. */
  fleetReport(topology: Topology, nowMs: number): VersionReport {
    const roots = this.freshReports(topology.otherReportRoots(), nowMs);
    return sumReports([this.ownReport(topology, nowMs), ...roots]);
  }

  /** Forgets nodes that are gone. */
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

  private soon(nowMs: number): void {
    this.dueMs = Math.min(this.dueMs, nowMs + this.timing.reportDelayMs);
  }
}

/** Adds reports up. */
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
