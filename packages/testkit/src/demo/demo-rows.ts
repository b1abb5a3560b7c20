/** Rows of the closing table, from what the mesh did. */

import type {RunLedger} from '../backend-server/run-ledger.js';
import {auditCalls, type CallRecord} from '../caller/caller-audit.js';
import type {Mesh} from '../mesh/mesh.js';
import {check, checkCount, figure, type TableRow} from './closing-table.js';

/** Time in ms within which a change has to be in force everywhere. */
const CONVERGENCE_TARGET_MS = 4000;

/** Time in ms after which a drained server gets no new work. */
export const DRAIN_TARGET_MS = 2000;

/** What was seen of the versions in force. */
export interface VersionFigures {
  stepsBack: number;
  /** Slowest of the measured changes. */
  slowestMs: number;
}

/** A server that was drained; times in ms since the epoch. */
export interface DrainPeriod {
  server: string;
  startMs: number;
  endMs: number;
}

/** Rows about configuration. */
export async function configRows(
  mesh: Mesh,
  newest: number,
  {stepsBack, slowestMs}: VersionFigures,
): Promise<TableRow[]> {
  const probes = mesh.probes();
  const versions = await Promise.all(probes.map(probe => probe.version()));
  const inForce = versions.filter(version => version === newest).length;
  const {counts} = mesh.log;
  return [
    checkCount('nodes that enforce the newest version', inForce, probes.length),
    checkCount('steps back in version', stepsBack, 0),
    check(
      'slowest convergence, ms',
      slowestMs.toFixed(0),
      `at most ${CONVERGENCE_TARGET_MS}`,
      slowestMs <= CONVERGENCE_TARGET_MS,
    ),
    figure('control bytes read from the log', counts.bytesOut),
    figure('reads of the log', counts.reads),
    figure('appends to the log', counts.appends),
  ];
}

/** Rows about control bytes; the nodes send their last figures as they end. */
export function controlRows(mesh: Mesh, upMs: number): TableRow[] {
  const sent = [...mesh.metricOf('control.bytes_out').values()];
  const total = sent.reduce((sum, bytes) => sum + bytes, 0);
  const perNode = sent.length === 0 ? 0 : total / sent.length;
  const perSecond = (perNode * 1000) / upMs;
  return [
    figure('control bytes sent between nodes', total),
    figure('control bytes sent by a node in 1 s', perSecond.toFixed(0)),
  ];
}

/** Rows about calls, audited against the runs at the backend servers. */
export function callRows(
  calls: readonly CallRecord[],
  ledger: RunLedger,
  drain: DrainPeriod,
): TableRow[] {
  const counts = auditCalls(calls, ledger.countByRequest());
  const isAll = counts.answered === counts.calls && counts.calls > 0;
  const lateRuns = countRunsWhileDrained(ledger, drain);
  return [
    figure('calls sent', counts.calls),
    check('calls answered', counts.answered, 'all', isAll),
    checkCount('calls refused, not run', counts.notRun, 0),
    ...reasonRows(calls),
    checkCount('calls with unknown outcome', counts.unknown, 0),
    checkCount('answers of another request', counts.mismatched, 0),
    checkCount('answers without a run', counts.answeredWithoutRun, 0),
    checkCount('commands run more than once', counts.repeated, 0),
    checkCount('false refusals', counts.falselyNotRun, 0),
    checkCount('runs at a drained server after 2 s', lateRuns, 0),
    figure('p50 of a call, ms', percentile(calls, 0.5)),
    figure('p99 of a call, ms', percentile(calls, 0.99)),
  ];
}

/** One row for each reason of calls that were not answered. */
function reasonRows(calls: readonly CallRecord[]): TableRow[] {
  const counts = new Map<string, number>();
  for (const {verdict, status, reason, method, path} of calls) {
    if (verdict === 'answered') continue;
    const subject = `  ${status} ${reason}, ${method} ${path}`;
    counts.set(subject, (counts.get(subject) ?? 0) + 1);
  }
  return [...counts].map(([subject, count]) => figure(subject, count));
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

function percentile(calls: readonly CallRecord[], share: number): string {
  const latencies = calls.map(call => call.latencyMs).sort((a, b) => a - b);
  return (latencies[Math.floor(latencies.length * share)] ?? 0).toFixed(2);
}
