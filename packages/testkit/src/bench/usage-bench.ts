/** Measures the cost of metering: records, and time and memory of the fold. */

import {
  UsageCollector,
  UsageLedger,
  type CallCounts,
} from '@turmericmill/routing';

import {writeSlopes, type SlopeName} from '../capacity/slopes.js';
import {
  Bench,
  commandOf,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';

const MAX_RECORD_BYTES = 256 * 1024;
/** Number of reports that each node sends. */
const ROUNDS = 3;

interface Row {
  nodes: number;
  recordsPerRound: number;
  bytesPerReport: number;
  foldMicrosPerReport: number;
  heapBytesPerNode: number;
  /** Appends of the baseline, in which each node appends its own report. */
  baselineAppendsPerRound: number;
  /** Ratio of the appended records to the appends of the baseline. */
  ratioAppends: number;
}

class UsageBench extends Bench {
  override readonly summary = 'Records and memory of customer metering';

  /** Also writes the slopes to the file given as `--slopes`. */
  override run(options: BenchOptions): Promise<object> {
    const nodes = numbersOption(options, 'nodes', [12, 1000, 25000]);
    const customers = numberOption(options, 'customers', 5);
    const rows = nodes.map(count => measure(count, customers));
    const {slopes: slopesFile} = options;
    if (slopesFile) {
      writeSlopes(slopesFile, commandOf('usage', options), slopesOf(rows));
    }
    return Promise.resolve({bench: 'usage', customersPerNode: customers, rows});
  }
}

/** Returns the slopes from the figures of the largest number of nodes. */
function slopesOf(rows: Row[]): Partial<Record<SlopeName, number>> {
  const largest = rows.reduce((a, b) => (a.nodes > b.nodes ? a : b));
  return {
    'usage.recordsPerRound': largest.recordsPerRound,
    'usage.bytesPerReport': largest.bytesPerReport,
    'usage.foldMicrosPerReport': largest.foldMicrosPerReport,
    'usage.heapBytesPerNode': largest.heapBytesPerNode,
  };
}

/** Collects and folds the reports of all nodes over several rounds. */
function measure(nodes: number, customers: number): Row {
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const ledger = new UsageLedger();
  let records = 0;
  let bytes = 0;
  let foldMs = 0;
  for (let round = 1; round <= ROUNDS; round++) {
    const collector = collect(nodes, customers, round);
    for (let nowMs = 0; collector.size > 0; nowMs++) {
      const body = collector.takeDueRecord(nowMs) ?? '';
      collector.handleAppend(true);
      const startedMs = performance.now();
      ledger.fold(records, body);
      foldMs += performance.now() - startedMs;
      records += 1;
      bytes += body.length;
    }
  }
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  const reports = nodes * ROUNDS;
  return {
    nodes,
    recordsPerRound: records / ROUNDS,
    bytesPerReport: Math.round(bytes / reports),
    foldMicrosPerReport: Math.round((foldMs * 10_000) / reports) / 10,
    heapBytesPerNode: Math.round(heapBytes / ledger.size.rows),
    baselineAppendsPerRound: nodes,
    ratioAppends: records / reports,
  };
}

/** Returns a collector with the reports of all nodes in one round. */
function collect(
  nodes: number,
  customers: number,
  round: number,
): UsageCollector {
  const collector = new UsageCollector({
    appendIntervalMs: 1,
    maxRecordBytes: MAX_RECORD_BYTES,
    maxRows: nodes,
  });
  for (let i = 0; i < nodes; i++) {
    const calls: CallCounts = {};
    for (let c = 0; c < customers; c++) {
      calls[`customer-${(i + c) % 1000}`] = round * 1_000_000 + c;
    }
    const incarnation = 1_790_000_000_000 + i;
    collector.add({nodeId: `node-${i}`, incarnation, calls});
  }
  return collector;
}

export const bench: Bench = new UsageBench();
