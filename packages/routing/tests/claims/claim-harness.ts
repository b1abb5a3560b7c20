/** Claim writers and entry nodes around an in-memory log with faults. */

import {ManualClock, SeededRandom} from '@turmericmill/utils';
import type {ClaimOutcome, ClaimReply} from '@turmericmill/wire';

import {
  ClaimClient,
  ClaimWriter,
  type ClaimClientEffect,
  type ClaimWriterEffect,
  type RunResult,
} from '../../src/claims/index.js';

export const WINDOW_MS = 60_000;

/**
 * Effect and result of the next append. `none`: not appended, and reported so.
 * `lost`, `late` and `never`: the result is unknown; the record is appended at
 * once, later or not at all.
 */
export type AppendFault = 'ok' | 'none' | 'lost' | 'late' | 'never';

export interface Refusal {
  outcome: string;
  reason: string;
}

/** A scheduled step; the steps of a paused host wait until it resumes. */
interface Step {
  atMs: number;
  host?: string;
  run: () => void;
}

export class ClaimCluster {
  readonly clock = new ManualClock(1_000_000);
  readonly random: SeededRandom;
  readonly records: string[] = [];
  earliest = 0;
  isLogDown = false;
  appendFaults: AppendFault[] = [];
  /** Maximum random delay in ms of the network and the log. */
  delayMs = 2;
  /**
   * Additional delay in ms of late appends; duplicated messages have a random
   * additional delay below it.
   */
  lateMs = 40;
  /** Applies to entry nodes added afterwards. */
  claimedWaitMs = 0;
  /** Probability that a message between nodes is lost; equal for duplication. */
  lossRate = 0;
  /** Number of runs by key, without those that ended as `not-run`. */
  readonly runs = new Map<string, number>();
  /** State of each call that was run, or ended without a run, by its id. */
  readonly ends = new Map<number, Refusal | 'answered' | 'run'>();
  /** Runs a call; returns its result, or undefined if it does not end. */
  onRun: (callId: number) => RunResult | undefined = () => undefined;
  private steps: Step[] = [];
  private readonly writers = new Map<string, ClaimWriter>();
  private readonly clients = new Map<string, ClaimClient>();
  private readonly paused = new Map<string, number>();
  private readonly callKeys = new Map<number, string>();
  private readonly owners = new Map<number, string>();
  /** Entry nodes' views of the writer that differ from `assumedWriter`. */
  readonly assumedWriters = new Map<string, string>();
  assumedWriter = 'w1';
  private nextCall = 1;
  private starts = 1;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  addWriter(name: string, maxKeys = 1000): void {
    const options = {
      writer: `${name}:${this.starts++}`,
      partition: 0,
      windowMs: WINDOW_MS,
      appendIntervalMs: 20,
      retryBaseMs: 20,
      retryCapMs: 200,
      maxRecordBytes: 4096,
      maxQueueBytes: 16 * 1024,
      maxKeys,
      maxAnswerBytes: 1000,
    };
    this.writers.set(name, new ClaimWriter(options, this.random));
  }

  addEntry(name: string): void {
    const options = {
      claimIdPrefix: name,
      claimTimeoutMs: 500,
      claimedWaitMs: this.claimedWaitMs,
      retryIntervalMs: 50,
      lingerMs: 5000,
      maxKeptAnswerBytes: 500,
    };
    this.clients.set(name, new ClaimClient(options));
  }

  setRole(writer: string, hasRole: boolean): void {
    const now = this.clock.now();
    this.onWriter(writer, this.writers.get(writer)?.setRole(hasRole, now));
  }

  writerStatus(writer: string) {
    return this.writers.get(writer)?.status;
  }

  /** Removes a host; its pending steps are lost. */
  crash(host: string): void {
    this.writers.delete(host);
    this.clients.delete(host);
    this.steps = this.steps.filter(step => step.host !== host);
  }

  pause(host: string, ms: number): void {
    this.paused.set(host, this.clock.now() + ms);
  }

  /** Starts a call with a key and returns its id. */
  call(entry: string, key: string, digest = 'd', timeoutMs = 1000): number {
    const callId = this.nextCall++;
    const now = this.clock.now();
    this.callKeys.set(callId, key);
    this.owners.set(callId, entry);
    const call = {
      partition: 0,
      key,
      requestDigest: digest,
      deadlineMs: now + timeoutMs,
    };
    this.onClient(entry, this.clients.get(entry)?.start(callId, call, now));
    return callId;
  }

  finish(callId: number, end: RunResult): void {
    const entry = this.owners.get(callId) ?? '';
    const now = this.clock.now();
    this.onClient(entry, this.clients.get(entry)?.finished(callId, end, now));
  }

  /** Advances the clock by `ms` in steps of 1 ms. */
  advance(ms: number): void {
    for (let i = 0; i < ms; i++) {
      const now = this.clock.advance(1);
      this.runDue(now);
      for (const [name, writer] of this.writers) {
        if (!this.isPaused(name)) this.onWriter(name, writer.tick(now));
      }
      for (const [name, client] of this.clients) {
        if (!this.isPaused(name)) this.onClient(name, client.tick(now));
      }
    }
  }

  private runDue(now: number): void {
    const due = this.steps.filter(step => this.isDue(step, now));
    this.steps = this.steps.filter(step => !due.includes(step));
    due.sort((a, b) => a.atMs - b.atMs);
    for (const step of due) step.run();
  }

  private isDue(step: Step, now: number): boolean {
    return step.atMs <= now && !(step.host && this.isPaused(step.host));
  }

  private isPaused(host: string): boolean {
    return (this.paused.get(host) ?? 0) > this.clock.now();
  }

  private schedule(run: () => void, host?: string, extraMs = 0): void {
    const delayMs = 1 + this.random.nextInt(this.delayMs) + extraMs;
    const step: Step = {atMs: this.clock.now() + delayMs, run};
    if (host) step.host = host;
    this.steps.push(step);
  }

  /** Delivers a message once, twice or not at all. */
  private send(host: string, run: () => void): void {
    const draw = this.random.next();
    if (draw < this.lossRate) return;
    this.schedule(run, host);
    const isRepeated = draw > 1 - this.lossRate;
    if (isRepeated) this.schedule(run, host, this.random.nextInt(this.lateMs));
  }

  private onWriter(name: string, effects: ClaimWriterEffect[] = []): void {
    for (const effect of effects) {
      if (effect.type === 'append') this.append(name, effect.body);
      else if (effect.type === 'read') this.read(name, effect.from);
      else this.send(effect.to, () => this.onReply(effect.to, effect.reply));
    }
  }

  private append(name: string, body: string): void {
    const fault = this.isLogDown ? 'none' : (this.appendFaults.shift() ?? 'ok');
    const writer = this.writers.get(name);
    const appendRecord = () => this.records.push(body) - 1;
    const end = (offset?: number) => {
      const result =
        offset !== undefined
          ? ({type: 'ok', offset} as const)
          : ({type: fault === 'none' ? 'none' : 'unknown'} as const);
      if (this.writers.get(name) !== writer) return;
      this.onWriter(name, writer?.handleAppend(result, this.clock.now()));
    };
    if (fault === 'late') this.schedule(appendRecord, undefined, this.lateMs);
    this.schedule(() => {
      const offset =
        fault === 'ok' || fault === 'lost' ? appendRecord() : undefined;
      const reported = fault === 'ok' ? offset : undefined;
      this.schedule(() => end(reported), name);
    });
  }

  private read(name: string, from: number): void {
    const writer = this.writers.get(name);
    this.schedule(() => {
      const result = this.readNow(from);
      this.schedule(() => {
        if (this.writers.get(name) !== writer) return;
        this.onWriter(name, writer?.handleRead(result, this.clock.now()));
      }, name);
    });
  }

  private readNow(from: number) {
    const {earliest} = this;
    if (this.isLogDown) return {type: 'failed'} as const;
    if (from < earliest) return {type: 'expired', earliest} as const;
    const records = this.records
      .slice(from, from + 3)
      .map((body, i) => ({offset: from + i, body}));
    return {type: 'ok', records, next: this.records.length} as const;
  }

  private onClient(name: string, effects: ClaimClientEffect[] = []): void {
    for (const effect of effects) this.applyEffect(name, effect);
  }

  private applyEffect(name: string, effect: ClaimClientEffect): void {
    switch (effect.type) {
      case 'ask':
        this.sendToWriter(name, w =>
          w.handleRequest(name, effect.req, this.clock.now()),
        );
        break;
      case 'report':
        this.sendToWriter(name, w => this.report(w, effect.outcome));
        break;
      case 'run':
        this.run(effect.callId);
        break;
      case 'answer':
        this.end(effect.callId, 'answered');
        break;
      case 'refuse': {
        const {outcome, reason} = effect;
        this.end(effect.callId, {outcome, reason});
      }
    }
  }

  private report(writer: ClaimWriter, outcome: ClaimOutcome) {
    return writer.handleOutcome(outcome, this.clock.now());
  }

  private sendToWriter(
    entry: string,
    run: (writer: ClaimWriter) => ClaimWriterEffect[],
  ): void {
    const name = this.assumedWriters.get(entry) ?? this.assumedWriter;
    this.send(name, () => {
      const writer = this.writers.get(name);
      if (writer) this.onWriter(name, run(writer));
    });
  }

  private onReply(entry: string, reply: ClaimReply): void {
    const now = this.clock.now();
    this.onClient(entry, this.clients.get(entry)?.handleReply(reply, now));
  }

  private run(callId: number): void {
    if (this.ends.has(callId)) throw new Error(`Call ${callId} ran late.`);
    this.ends.set(callId, 'run');
    const end = this.onRun(callId);
    const key = this.callKeys.get(callId) ?? '';
    if (end?.type !== 'not-run') {
      this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    }
    if (end) {
      this.schedule(() => this.finish(callId, end), this.owners.get(callId));
    }
  }

  private end(callId: number, end: Refusal | 'answered'): void {
    if (this.ends.has(callId)) throw new Error(`Call ${callId} ended twice.`);
    this.ends.set(callId, end);
  }
}

export const ANSWER: RunResult = {
  type: 'answered',
  answer: {status: 200, headers: [], body: Buffer.from('posted')},
};
