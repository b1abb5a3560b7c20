/** Cost of metering: records, processor time and memory of the fold. */

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
const ROUNDS = 3;
interface Row {
  nodes: number;
  recordsPerRound: number;
  bytesPerReport: number;
  foldMicrosPerReport: number;
  heapBytesPerNode: number;
  baselineAppendsPerRound: number;
  ratioAppends: number;
}

class UsageBench extends Bench {
  override readonly summary = 'Records and memory of the metering of customers';

  /** Writes slopes into the file `--slopes`. */
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

/** Figures of the most nodes measured. */
function slopesOf(rows: Row[]): Partial<Record<SlopeName, number>> {
  const most = rows.reduce((a, b) => (a.nodes > b.nodes ? a : b));
  return {
    'usage.recordsPerRound': most.recordsPerRound,
    'usage.bytesPerReport': most.bytesPerReport,
    'usage.foldMicrosPerReport': most.foldMicrosPerReport,
    'usage.heapBytesPerNode': most.heapBytesPerNode,
  };
}

/** Reports of all nodes, some rounds of them, collected and folded. */
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
