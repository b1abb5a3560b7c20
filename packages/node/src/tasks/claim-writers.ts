/** Runs the claim writers of this node's partitions, with their log calls. */

import type {LogClient, LogError, StreamName} from '@turmericmill/platform';
import {MAX_RECORD_BYTES} from '@turmericmill/platform';
import {
  ClaimWriter,
  type AppendResult,
  type ClaimWriterEffect,
  type ClaimWriterOptions,
  type ReadResult,
} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';
import type {ClaimOutcome, ClaimReply, ClaimRequest} from '@turmericmill/wire';

/** Maximum number of records per read of the log. */
const PAGE_RECORDS = 200;

/** Options that all claim writers share. */
export const CLAIM_WRITER_OPTIONS: Omit<
  ClaimWriterOptions,
  'writer' | 'partition'
> = {
  windowMs: 10 * 60_000,
  appendIntervalMs: 80,
  retryBaseMs: 50,
  retryCapMs: 2_000,
  maxRecordBytes: MAX_RECORD_BYTES,
  maxQueueBytes: 4 * 1024 * 1024,
  maxKeys: 500_000,
  maxAnswerBytes: 16 * 1024 * 1024,
};

/** Dependencies of `ClaimWriters`. */
export interface ClaimWritersParts {
  /** Writer id; unique across all nodes and their restarts. */
  writer: string;
  log: LogClient;
  clock: Clock;
  random: RandomSource;
  /** Sends a reply to an entry node. */
  sendReply(nodeId: string, reply: ClaimReply): void;
  /** Called after each log call, because `wakeAtMs` may have changed. */
  onChange(): void;
}

export class ClaimWriters {
  private readonly writers = new Map<number, ClaimWriter>();
  /** Log calls that have not ended. */
  private readonly openCalls = new Set<Promise<void>>();

  constructor(private readonly parts: ClaimWritersParts) {}

  /** Sets the partitions for which this node is the selected writer. */
  setRoles(partitions: ReadonlySet<number>): void {
    for (const partition of partitions) {
      if (!this.writers.has(partition)) this.add(partition);
    }
    for (const [partition, writer] of this.writers) {
      const now = this.parts.clock.now();
      const hasRole = partitions.has(partition);
      this.applyEffects(writer, writer.setRole(hasRole, now));
    }
  }

  handleRequest(from: string, req: ClaimRequest): void {
    const writer = this.writers.get(req.partition);
    if (!writer) {
      const {requestId, claimId} = req;
      const verdict = 'not-writer' as const;
      this.parts.sendReply(from, {requestId, claimId, verdict, inDoubt: false});
      return;
    }
    const now = this.parts.clock.now();
    this.applyEffects(writer, writer.handleRequest(from, req, now));
  }

  handleOutcome(outcome: ClaimOutcome): void {
    const writer = this.writers.get(outcome.partition);
    const now = this.parts.clock.now();
    if (writer) this.applyEffects(writer, writer.handleOutcome(outcome, now));
  }

  tick(nowMs: number): void {
    for (const writer of this.writers.values()) {
      this.applyEffects(writer, writer.tick(nowMs));
    }
  }

  /** Resigns all partitions. Resolves when no log call is open. */
  async stop(): Promise<void> {
    this.setRoles(new Set());
    while (this.openCalls.size > 0) await Promise.all(this.openCalls);
  }

  /** Time in ms at which `tick` has work. */
  get wakeAtMs(): number {
    const times = [...this.writers.values()].map(writer => writer.wakeAtMs);
    return Math.min(Infinity, ...times);
  }

  private add(partition: number): void {
    const {writer, random} = this.parts;
    const options = {...CLAIM_WRITER_OPTIONS, writer, partition};
    this.writers.set(partition, new ClaimWriter(options, random));
  }

  private applyEffects(
    writer: ClaimWriter,
    effects: ClaimWriterEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.type === 'reply') {
        this.parts.sendReply(effect.to, effect.reply);
      } else if (effect.type === 'append') {
        this.track(this.append(writer, effect.partition, effect.body));
      } else this.track(this.read(writer, effect.partition, effect.from));
    }
  }

  private track(call: Promise<void>): void {
    const tracked = call.finally(() => this.openCalls.delete(tracked));
    this.openCalls.add(tracked);
  }

  private async append(writer: ClaimWriter, partition: number, body: string) {
    const {log, clock} = this.parts;
    const result = await log.append(streamOf(partition), body);
    const appendResult = result.isOk()
      ? ({type: 'ok', offset: result.value} as const)
      : appendResultOf(result.error);
    this.applyEffects(writer, writer.handleAppend(appendResult, clock.now()));
    this.parts.onChange();
  }

  private async read(writer: ClaimWriter, partition: number, from: number) {
    const {log, clock} = this.parts;
    const options = {limit: PAGE_RECORDS, waitMs: 0};
    const page = await log.read(streamOf(partition), from, options);
    const readResult = page.isOk()
      ? ({type: 'ok', ...page.value} as const)
      : readResultOf(page.error);
    this.applyEffects(writer, writer.handleRead(readResult, clock.now()));
    this.parts.onChange();
  }
}

function streamOf(partition: number): StreamName {
  return `claims-${partition}`;
}

function appendResultOf(err: LogError): AppendResult {
  return {type: err.code === 'outcome-unknown' ? 'unknown' : 'none'};
}

function readResultOf(err: LogError): ReadResult {
  const isExpired = err.code === 'trimmed' && err.bounds !== undefined;
  if (!isExpired) return {type: 'failed'};
  return {type: 'expired', earliest: err.bounds?.earliest ?? 0};
}
