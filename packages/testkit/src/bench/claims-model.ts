/**
 * The claim decisions over a log of limited capacity, in model time: exact
 * counts and latencies that do not depend on the host.
 */

import {
  CLAIM_PARTITIONS,
  ClaimClient,
  claimKey,
  claimPartition,
  ClaimWriter,
  type ClaimClientEffect,
  type ClaimWriterEffect,
  type RunResult,
} from '@turmericmill/routing';
import {
  LatencyHistograms,
  SeededRandom,
  type LatencySummary,
} from '@turmericmill/utils';

import type {CappedLog} from './capped-log.js';

const ANSWER: RunResult = {
  type: 'answered',
  answer: {status: 200, headers: [], body: Buffer.alloc(200, 'x')},
};
const CLIENT_TICK_MS = 25;

/** One run of the model. */
export interface ClaimsModelOptions {
  claimsPerSecond: number;
  seconds: number;
  /** One-way latency between nodes. */
  networkMs: number;
  appendIntervalMs: number;
  log: CappedLog;
}

export interface ClaimsModelResult {
  latency: LatencySummary;
  granted: number;
  refused: number;
  appendsPerSecond: number;
  bytesPerSecond: number;
  /** Elapsed time in the writers' decisions. */
  writerMicrosPerClaim: number;
}

/** Claims of one entry node at writers of all partitions. */
export class ClaimsModel {
  private readonly client = new ClaimClient({
    claimIdPrefix: 'entry',
    claimTimeoutMs: 2_000,
    claimedWaitMs: 1_000,
    retryIntervalMs: 100,
    lingerMs: 5_000,
    maxKeptAnswerBytes: 4096,
  });
  private readonly writers: ClaimWriter[];
  private readonly startedAtMs = new Map<number, number>();
  private readonly histograms = new LatencyHistograms();
  private readonly events = new Map<number, (() => void)[]>();
  private nowMs = 1_000_000;
  private writerMs = 0;
  private granted = 0;
  private refused = 0;

  constructor(private readonly options: ClaimsModelOptions) {
    const random = new SeededRandom(1);
    this.writers = Array.from({length: CLAIM_PARTITIONS}, (unused, i) => {
      return new ClaimWriter(this.writerOptions(i), random);
    });
  }

  run(): ClaimsModelResult {
    const {claimsPerSecond, seconds, log} = this.options;
    const claims = claimsPerSecond * seconds;
    for (const writer of this.writers) {
      this.onWriter(writer, writer.setRole(true, this.nowMs));
    }
    this.pass(100);
    log.resetCounts();
    this.writerMs = 0;
    for (let started = 0, ms = 1; ms <= seconds * 1000; ms++) {
      for (; started < (claimsPerSecond * ms) / 1000; started++) {
        this.start(started + 1);
      }
      this.pass(1);
    }
    const {appends, bytes} = log;
    this.pass(3_000);
    return {
      latency: this.histograms.summaryOf('claim'),
      granted: this.granted,
      refused: this.refused,
      appendsPerSecond: appends / seconds,
      bytesPerSecond: Math.round(bytes / seconds),
      writerMicrosPerClaim: Math.round((this.writerMs * 1000) / claims),
    };
  }

  private writerOptions(partition: number) {
    return {
      writer: 'writer',
      partition,
      windowMs: 600_000,
      appendIntervalMs: this.options.appendIntervalMs,
      retryBaseMs: 50,
      retryCapMs: 2_000,
      maxRecordBytes: 256 * 1024,
      maxQueueBytes: 4 * 1024 * 1024,
      maxKeys: 500_000,
      maxAnswerBytes: 16 * 1024 * 1024,
    };
  }

  private start(callId: number): void {
    const key = claimKey('customer', String(callId));
    const partition = claimPartition(key, CLAIM_PARTITIONS);
    const deadlineMs = this.nowMs + 5_000;
    const call = {key, partition, requestDigest: key, deadlineMs};
    this.startedAtMs.set(callId, this.nowMs);
    this.onClient(this.client.start(callId, call, this.nowMs));
  }

  private pass(ms: number): void {
    for (let i = 0; i < ms; i++) {
      this.nowMs += 1;
      for (const run of this.events.get(this.nowMs) ?? []) run();
      this.events.delete(this.nowMs);
      for (const writer of this.writers) {
        if (writer.wakeAtMs > this.nowMs) continue;
        this.step(writer, () => writer.tick(this.nowMs));
      }
      if (this.nowMs % CLIENT_TICK_MS === 0) {
        this.onClient(this.client.tick(this.nowMs));
      }
    }
  }

  private at(timeMs: number, run: () => void): void {
    const dueMs = Math.max(this.nowMs + 1, Math.ceil(timeMs));
    const due = this.events.get(dueMs) ?? [];
    due.push(run);
    this.events.set(dueMs, due);
  }

  private onClient(effects: ClaimClientEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'ask') {
        const {req} = effect;
        this.toWriter(req.partition, writer =>
          writer.handleRequest('entry', req, this.nowMs),
        );
      } else if (effect.type === 'report') {
        const {outcome} = effect;
        this.toWriter(outcome.partition, writer =>
          writer.handleOutcome(outcome, this.nowMs),
        );
      } else this.ended(effect.callId, effect.type);
    }
  }

  private ended(callId: number, type: 'run' | 'answer' | 'refuse'): void {
    const startedAtMs = this.startedAtMs.get(callId) ?? 0;
    this.startedAtMs.delete(callId);
    if (type !== 'run') {
      this.refused += 1;
      return;
    }
    this.granted += 1;
    this.histograms.record('claim', this.nowMs - startedAtMs);
    this.onClient(this.client.finished(callId, ANSWER, this.nowMs));
  }

  private toWriter(
    partition: number,
    run: (writer: ClaimWriter) => ClaimWriterEffect[],
  ): void {
    const writer = this.writers[partition] as ClaimWriter;
    this.at(this.nowMs + this.options.networkMs, () => {
      this.step(writer, () => run(writer));
    });
  }

  /** Runs a decision of a writer, timed, and carries its effects out. */
  private step(writer: ClaimWriter, decide: () => ClaimWriterEffect[]): void {
    const startedMs = performance.now();
    const effects = decide();
    this.writerMs += performance.now() - startedMs;
    this.onWriter(writer, effects);
  }

  private onWriter(writer: ClaimWriter, effects: ClaimWriterEffect[]): void {
    const {log, networkMs} = this.options;
    for (const effect of effects) {
      if (effect.type === 'reply') {
        const {reply} = effect;
        this.at(this.nowMs + networkMs, () => {
          this.onClient(this.client.handleReply(reply, this.nowMs));
        });
        continue;
      }
      const stream = String(effect.partition);
      if (effect.type === 'append') {
        const {offset, doneAtMs} = log.append(stream, effect.body, this.nowMs);
        this.at(doneAtMs, () => {
          const end = {type: 'ok', offset} as const;
          this.step(writer, () => writer.handleAppend(end, this.nowMs));
        });
      } else {
        const page = log.read(stream, effect.from);
        this.at(this.nowMs + log.latencyMs, () => {
          this.onWriter(writer, writer.handleRead(page, this.nowMs));
        });
      }
    }
  }
}
