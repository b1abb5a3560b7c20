/** Cost of claims: in model time against one append for each key, and live. */

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
import {CappedLog} from './capped-log.js';
import {ClaimsModel} from './claims-model.js';
import {measureLiveClaims} from './live-claims.js';

/** What the platform's log takes, as the model assumes. */
const LOG_APPENDS_PER_SECOND = 400;
const LOG_LATENCY_MS = 5;
const NETWORK_MS = 1.5;
const APPEND_INTERVAL_MS = 80;
const BATCH_KEYS = 1000;
interface MemoryFigures {
  keys: number;
  collected: boolean;
  bytesPerKey: number;
  foldMicrosPerKey: number;
}

class ClaimsBench extends Bench {
  override readonly summary = 'Appends and latency of claims for keyed calls';

  /** Writes slopes into the file `--slopes`. */
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
    const memory = memoryOf(keys);
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

/** Figures of the highest rate measured. */
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

function modelRow(rate: number, seconds: number) {
  const log = new CappedLog(LOG_APPENDS_PER_SECOND, LOG_LATENCY_MS);
  const batched = new ClaimsModel({
    claimsPerSecond: rate,
    seconds,
    networkMs: NETWORK_MS,
    appendIntervalMs: APPEND_INTERVAL_MS,
    log,
  }).run();
  const {latency, ...counts} = batched;
  const baseline = perKeyRow(rate, seconds);
  return {
    claimsPerSecond: rate,
    batched: {p50Ms: latency.p50Ms, p99Ms: latency.p99Ms, ...counts},
    appendPerKey: baseline,
    ratioAppends: round(counts.appendsPerSecond / rate),
    ratioP99: round(latency.p99Ms / baseline.p99Ms),
  };
}

/** The baseline: each key is one append, and waits for its own. */
function perKeyRow(rate: number, seconds: number) {
  const log = new CappedLog(LOG_APPENDS_PER_SECOND, LOG_LATENCY_MS);
  const histograms = new LatencyHistograms();
  for (let i = 0; i < rate * seconds; i++) {
    const nowMs = (i * 1000) / rate;
    const {doneAtMs} = log.append('claims', '', nowMs + NETWORK_MS);
    histograms.record('claim', doneAtMs + NETWORK_MS - nowMs);
  }
  const {p50Ms, p99Ms} = histograms.summaryOf('claim');
  const served = Math.min(rate, LOG_APPENDS_PER_SECOND);
  return {p50Ms, p99Ms, appendsPerSecond: rate, servedPerSecond: served};
}

/** Heap of a ledger, for each remembered key. */
function memoryOf(keys: number): MemoryFigures {
  const limits = {windowMs: 600_000, maxAnswerBytes: 0};
  const ledger = new ClaimLedger(limits);
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const startedMs = performance.now();
  for (let from = 0; from < keys; from += BATCH_KEYS) {
    const encoded = Array.from({length: BATCH_KEYS}, (unused, i) => {
      const key = claimKey('customer', String(from + i));
      const claimId = `node-1:lf0k2x9a.${(from + i).toString(36)}`;
      const claim = {type: 'claim', key, claimId, requestDigest: key} as const;
      return encodeOperation(claim);
    });
    const head = {writer: 'w', seq: from, atMs: 1000, untilMs: 601_000};
    ledger.fold({offset: ledger.next, body: encodeBatch(head, encoded)});
  }
  const elapsedMs = performance.now() - startedMs;
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed - before;
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
