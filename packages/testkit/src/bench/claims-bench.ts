/**
 * Measures the cost of claims: in simulated time, where one append per key is
 * the baseline, and through node processes.
 */

import {
  ClaimLedger,
  claimKey,
  encodeBatch,
  encodeOperation,
} from '@turmericmill/routing';
import {LatencyHistograms} from '@turmericmill/utils';

import {writeSlopes, type SlopeName} from '../capacity/slopes.js';
import {
  Bench,
  commandOf,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {SimulatedLog} from './simulated-log.js';
import {ClaimsModel} from './claims-model.js';
import {measureLiveClaims} from './live-claims.js';

/** Assumed maximum append rate of the platform's log. */
const LOG_APPENDS_PER_SECOND = 400;
/** Assumed latency of an append to the platform's log. */
const LOG_LATENCY_MS = 5;
/** Assumed one-way latency between nodes. */
const NETWORK_LATENCY_MS = 1.5;
/** Minimum time between two appends of a claim writer. */
const APPEND_INTERVAL_MS = 80;
const KEYS_PER_BATCH = 1000;

interface MemoryFigures {
  keys: number;
  /** Whether garbage was collected before each reading of the heap size. */
  collected: boolean;
  bytesPerKey: number;
  foldMicrosPerKey: number;
}

class ClaimsBench extends Bench {
  override readonly summary =
    'Appends and latency of claims for calls with idempotency keys';

  /** Also writes the slopes to the file given as `--slopes`. */
  override async run(options: BenchOptions): Promise<object> {
    const rates = numbersOption(
      options,
      'rates',
      [15, 150, 1500, 5000, 15000, 75000],
    );
    const seconds = numberOption(options, 'seconds', 5);
    const keys = numberOption(options, 'keys', 200_000);
    const liveRates = numbersOption(options, 'live', [50, 200, 600]);
    const liveSeconds = numberOption(options, 'live-seconds', 8);
    const model = rates.map(rate => modelRow(rate, seconds));
    const memory = measureMemory(keys);
    const {slopes: slopesFile} = options;
    if (slopesFile) {
      writeSlopes(
        slopesFile,
        commandOf('claims', options),
        slopesOf(model, memory),
      );
    }
    return {
      bench: 'claims',
      log: {
        appendsPerSecond: LOG_APPENDS_PER_SECOND,
        latencyMs: LOG_LATENCY_MS,
      },
      model,
      memory,
      live: await measureLiveClaims(liveRates, liveSeconds),
    };
  }
}

/** Returns the slopes from the figures of the highest rate measured. */
function slopesOf(
  model: ReturnType<typeof modelRow>[],
  memory: MemoryFigures,
): Partial<Record<SlopeName, number>> {
  const {claimsPerSecond, batched} = model.reduce((a, b) =>
    a.claimsPerSecond > b.claimsPerSecond ? a : b,
  );
  return {
    'claims.appendsPerSecond': batched.appendsPerSecond,
    'claims.logBytesPerClaim': batched.bytesPerSecond / claimsPerSecond,
    'claims.writerMicrosPerClaim': batched.writerMicrosPerClaim,
    'claims.foldMicrosPerKey': memory.foldMicrosPerKey,
    'claims.heapBytesPerKey': memory.bytesPerKey,
  };
}

/** Simulates batched claims and the baseline at one rate. */
function modelRow(rate: number, seconds: number) {
  const log = new SimulatedLog(LOG_APPENDS_PER_SECOND, LOG_LATENCY_MS);
  const batched = new ClaimsModel({
    claimsPerSecond: rate,
    seconds,
    networkMs: NETWORK_LATENCY_MS,
    appendIntervalMs: APPEND_INTERVAL_MS,
    log,
  }).run();
  const {latency, ...counts} = batched;
  const baseline = baselineRow(rate, seconds);
  return {
    claimsPerSecond: rate,
    batched: {p50Ms: latency.p50Ms, p99Ms: latency.p99Ms, ...counts},
    appendPerKey: baseline,
    ratioAppends: round(counts.appendsPerSecond / rate),
    ratioP99: round(latency.p99Ms / baseline.p99Ms),
  };
}

/** Simulates the baseline: one append per key, for which its claim waits. */
function baselineRow(rate: number, seconds: number) {
  const log = new SimulatedLog(LOG_APPENDS_PER_SECOND, LOG_LATENCY_MS);
  const histograms = new LatencyHistograms();
  for (let i = 0; i < rate * seconds; i++) {
    const nowMs = (i * 1000) / rate;
    const {doneAtMs} = log.append('claims', '', nowMs + NETWORK_LATENCY_MS);
    histograms.record('claim', doneAtMs + NETWORK_LATENCY_MS - nowMs);
  }
  const {p50Ms, p99Ms} = histograms.summaryOf('claim');
  const served = Math.min(rate, LOG_APPENDS_PER_SECOND);
  return {p50Ms, p99Ms, appendsPerSecond: rate, servedPerSecond: served};
}

/**
 * Measures the heap size of a ledger, and the time for encoding and folding the
 * claims, per retained key.
 */
function measureMemory(keys: number): MemoryFigures {
  const limits = {windowMs: 600_000, maxAnswerBytes: 0};
  const ledger = new ClaimLedger(limits);
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const startedMs = performance.now();
  for (let from = 0; from < keys; from += KEYS_PER_BATCH) {
    const encoded = Array.from({length: KEYS_PER_BATCH}, (unused, i) => {
      const key = claimKey('customer', String(from + i));
      const claimId = `node-1:lf0k2x9a.${(from + i).toString(36)}`;
      const claim = {type: 'claim', key, claimId, requestDigest: key} as const;
      return encodeOperation(claim);
    });
    const header = {writer: 'w', seq: from, atMs: 1000, untilMs: 601_000};
    ledger.fold({offset: ledger.next, body: encodeBatch(header, encoded)});
  }
  const elapsedMs = performance.now() - startedMs;
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  return {
    keys: ledger.size,
    collected: globalThis.gc !== undefined,
    bytesPerKey: Math.round(heapBytes / ledger.size),
    foldMicrosPerKey: round((elapsedMs * 1000) / ledger.size),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

export const bench: Bench = new ClaimsBench();
