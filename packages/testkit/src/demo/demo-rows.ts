/** Builds the rows of the results table from measurements of the mesh. */

import type {RunLedger} from '../backend-server/run-ledger.js';
import {auditCalls, type CallRecord} from '../caller/caller-audit.js';
import type {Mesh} from '../mesh/mesh.js';
import {
  createCheckRow,
  createCountCheck,
  createInfoRow,
  type TableRow,
} from './results-table.js';

/** Every node has to enforce a change within this time. */
const CONVERGENCE_TARGET_MS = 4000;

/** A drained server must not receive calls later than this after the drain. */
export const DRAIN_TARGET_MS = 2000;

export interface VersionFigures {
  /** How often a node went back to an older version. */
  stepsBack: number;
  /** Longest convergence time of the measured changes. */
  slowestMs: number;
}

/** The period in which a server was drained; times since the epoch. */
export interface DrainPeriod {
  server: string;
  startMs: number;
  endMs: number;
}

/** Builds the rows about configuration versions and log traffic. */
export async function buildConfigRows(
  mesh: Mesh,
  newestVersion: number,
  {stepsBack, slowestMs}: VersionFigures,
): Promise<TableRow[]> {
  const probes = mesh.probes();
  const versions = await Promise.all(probes.map(probe => probe.version()));
  const upToDate = versions.filter(version => version === newestVersion).length;
  const {counts} = mesh.log;
  return [
    createCountCheck(
      'nodes that enforce the newest version',
      upToDate,
      probes.length,
    ),
    createCountCheck('steps back in version', stepsBack, 0),
    createCheckRow(
      'slowest convergence, ms',
      slowestMs.toFixed(0),
      `at most ${CONVERGENCE_TARGET_MS}`,
      slowestMs <= CONVERGENCE_TARGET_MS,
    ),
    createInfoRow('control bytes read from the log', counts.bytesOut),
    createInfoRow('reads of the log', counts.reads),
    createInfoRow('appends to the log', counts.appends),
  ];
}

/**
 * Builds the rows about control traffic between nodes. The nodes have to be
 * stopped first, as they send their final metrics at shutdown.
 */
export function buildControlRows(mesh: Mesh, uptimeMs: number): TableRow[] {
  const sent = [...mesh.metricOf('control.bytes_out').values()];
  const total = sent.reduce((sum, bytes) => sum + bytes, 0);
  const perNode = sent.length === 0 ? 0 : total / sent.length;
  const perSecond = (perNode * 1000) / uptimeMs;
  return [
    createInfoRow('control bytes sent between nodes', total),
    createInfoRow('control bytes sent by a node in 1 s', perSecond.toFixed(0)),
  ];
}

/** Builds the rows about calls, audited against the backend servers' runs. */
export function buildCallRows(
  calls: readonly CallRecord[],
  ledger: RunLedger,
  drain: DrainPeriod,
): TableRow[] {
  const counts = auditCalls(calls, ledger.countByRequest());
  const areAllAnswered = counts.answered === counts.calls && counts.calls > 0;
  const lateRuns = countRunsWhileDrained(ledger, drain);
  return [
    createInfoRow('calls sent', counts.calls),
    createCheckRow('calls answered', counts.answered, 'all', areAllAnswered),
    createCountCheck('calls refused, not run', counts.notRun, 0),
    ...buildReasonRows(calls),
    createCountCheck('calls with unknown outcome', counts.unknown, 0),
    createCountCheck('answers of another request', counts.mismatched, 0),
    createCountCheck('answers without a run', counts.answeredWithoutRun, 0),
    createCountCheck('commands run more than once', counts.repeated, 0),
    createCountCheck('false refusals', counts.falselyNotRun, 0),
    createCountCheck('runs at a drained server after 2 s', lateRuns, 0),
    createInfoRow('p50 of a call, ms', percentile(calls, 0.5)),
    createInfoRow('p99 of a call, ms', percentile(calls, 0.99)),
  ];
}

/** Counts the unanswered calls by status, reason, method and path. */
function buildReasonRows(calls: readonly CallRecord[]): TableRow[] {
  const counts = new Map<string, number>();
  for (const {verdict, status, reason, method, path} of calls) {
    if (verdict === 'answered') continue;
    const subject = `  ${status} ${reason}, ${method} ${path}`;
    counts.set(subject, (counts.get(subject) ?? 0) + 1);
  }
  return [...counts].map(([subject, count]) => createInfoRow(subject, count));
}

function countRunsWhileDrained(
  ledger: RunLedger,
  {server, startMs, endMs}: DrainPeriod,
): number {
  return ledger.runs.filter(
    run =>
      run.server === server &&
      run.atMs > startMs + DRAIN_TARGET_MS &&
      run.atMs < endMs,
  ).length;
}

function percentile(calls: readonly CallRecord[], quantile: number): string {
  const latencies = calls.map(call => call.latencyMs).sort((a, b) => a - b);
  return (latencies[Math.floor(latencies.length * quantile)] ?? 0).toFixed(2);
}
