/**
 * Simulates claims over a log of limited capacity. It runs in simulated time,
 * so that counts are exact and latencies do not depend on the host.
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

import type {SimulatedLog} from './simulated-log.js';

const ANSWER: RunResult = {
  type: 'answered',
  answer: {status: 200, headers: [], body: Buffer.alloc(200, 'x')},
};
const CLIENT_TICK_INTERVAL_MS = 25;

/** Options of one simulation run. */
export interface ClaimsModelOptions {
  claimsPerSecond: number;
  seconds: number;
  /** One-way latency between nodes in ms. */
  networkMs: number;
  /** Minimum time in ms between two appends of a writer. */
  appendIntervalMs: number;
  log: SimulatedLog;
}

export interface ClaimsModelResult {
  /** Time from the start of a claim until it is granted. */
  latency: LatencySummary;
  granted: number;
  /** Number of claims that ended without a grant. */
  refused: number;
  appendsPerSecond: number;
  bytesPerSecond: number;
  /** Elapsed time of the writers' decisions. */
  writerMicrosPerClaim: number;
}

/** Simulates the claims of one entry node and the writers of all partitions. */
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
  /** Scheduled callbacks by due time in ms. */
  private readonly scheduled = new Map<number, (() => void)[]>();
  private nowMs = 1_000_000;
  /** Elapsed time of the writers' decisions since warm-up. */
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
      this.applyWriterEffects(writer, writer.setRole(true, this.nowMs));
    }
    this.advance(100);
    log.resetCounts();
    this.writerMs = 0;
    for (let started = 0, ms = 1; ms <= seconds * 1000; ms++) {
      for (; started < (claimsPerSecond * ms) / 1000; started++) {
        this.startCall(started + 1);
      }
      this.advance(1);
    }
    const {appends, bytes} = log;
    this.advance(3_000);
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

  private startCall(callId: number): void {
    const key = claimKey('customer', String(callId));
    const partition = claimPartition(key, CLAIM_PARTITIONS);
    const deadlineMs = this.nowMs + 5_000;
    const call = {key, partition, requestDigest: key, deadlineMs};
    this.startedAtMs.set(callId, this.nowMs);
    this.applyClientEffects(this.client.start(callId, call, this.nowMs));
  }

  /** Advances the simulated time in steps of 1 ms. */
  private advance(ms: number): void {
    for (let i = 0; i < ms; i++) {
      this.nowMs += 1;
      for (const callback of this.scheduled.get(this.nowMs) ?? []) callback();
      this.scheduled.delete(this.nowMs);
      for (const writer of this.writers) {
        if (writer.wakeAtMs > this.nowMs) continue;
        this.runWriter(writer, () => writer.tick(this.nowMs));
      }
      if (this.nowMs % CLIENT_TICK_INTERVAL_MS === 0) {
        this.applyClientEffects(this.client.tick(this.nowMs));
      }
    }
  }

  private schedule(timeMs: number, callback: () => void): void {
    const dueMs = Math.max(this.nowMs + 1, Math.ceil(timeMs));
    const callbacks = this.scheduled.get(dueMs) ?? [];
    callbacks.push(callback);
    this.scheduled.set(dueMs, callbacks);
  }

  private applyClientEffects(effects: ClaimClientEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'ask') {
        const {req} = effect;
        this.sendToWriter(req.partition, writer =>
          writer.handleRequest('entry', req, this.nowMs),
        );
      } else if (effect.type === 'report') {
        const {outcome} = effect;
        this.sendToWriter(outcome.partition, writer =>
          writer.handleOutcome(outcome, this.nowMs),
        );
      } else this.finishClaim(effect.callId, effect.type);
    }
  }

  private finishClaim(callId: number, type: 'run' | 'answer' | 'refuse'): void {
    const startedAtMs = this.startedAtMs.get(callId) ?? 0;
    this.startedAtMs.delete(callId);
    if (type !== 'run') {
      this.refused += 1;
      return;
    }
    this.granted += 1;
    this.histograms.record('claim', this.nowMs - startedAtMs);
    this.applyClientEffects(this.client.finished(callId, ANSWER, this.nowMs));
  }

  private sendToWriter(
    partition: number,
    decide: (writer: ClaimWriter) => ClaimWriterEffect[],
  ): void {
    const writer = this.writers[partition] as ClaimWriter;
    this.schedule(this.nowMs + this.options.networkMs, () => {
      this.runWriter(writer, () => decide(writer));
    });
  }

  /** Runs and times one decision of a writer, and applies its effects. */
  private runWriter(
    writer: ClaimWriter,
    decide: () => ClaimWriterEffect[],
  ): void {
    const startedMs = performance.now();
    const effects = decide();
    this.writerMs += performance.now() - startedMs;
    this.applyWriterEffects(writer, effects);
  }

  private applyWriterEffects(
    writer: ClaimWriter,
    effects: ClaimWriterEffect[],
  ): void {
    const {log, networkMs} = this.options;
    for (const effect of effects) {
      if (effect.type === 'reply') {
        const {reply} = effect;
        this.schedule(this.nowMs + networkMs, () => {
          this.applyClientEffects(this.client.handleReply(reply, this.nowMs));
        });
        continue;
      }
      const stream = String(effect.partition);
      if (effect.type === 'append') {
        const {offset, doneAtMs} = log.append(stream, effect.body, this.nowMs);
        this.schedule(doneAtMs, () => {
          const result = {type: 'ok', offset} as const;
          this.runWriter(writer, () => writer.handleAppend(result, this.nowMs));
        });
      } else {
        const result = log.read(stream, effect.from);
        this.schedule(this.nowMs + log.latencyMs, () => {
          this.applyWriterEffects(
            writer,
            writer.handleRead(result, this.nowMs),
          );
        });
      }
    }
  }
}
