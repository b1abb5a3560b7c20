/** The partitions of claims that this node writes, and their log calls. */

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

const PAGE_RECORDS = 200;

/** Bounds of every writer. */
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

/** What the writers need. */
export interface ClaimWritersParts {
  /** Unique over nodes and their starts. */
  writer: string;
  log: LogClient;
  clock: Clock;
  random: RandomSource;
  /** Sends a reply to an entry node. */
  deliver(nodeId: string, reply: ClaimReply): void;
  /** Called when an answer of the log may have changed when to wake. */
  onChange(): void;
}

export class ClaimWriters {
  private readonly writers = new Map<number, ClaimWriter>();
  /** Calls to the log that have not ended. */
  private readonly open = new Set<Promise<void>>();

  constructor(private readonly parts: ClaimWritersParts) {}

  /** Sets the partitions that this node has to write. */
  setRoles(partitions: ReadonlySet<number>): void {
    for (const partition of partitions) {
      if (!this.writers.has(partition)) this.add(partition);
    }
    for (const [partition, writer] of this.writers) {
      const now = this.parts.clock.now();
      const hasRole = partitions.has(partition);
      this.carryOut(writer, writer.setRole(hasRole, now));
    }
  }

  request(from: string, req: ClaimRequest): void {
    const writer = this.writers.get(req.partition);
    if (!writer) {
      const {requestId, claimId} = req;
      const verdict = 'not-writer' as const;
      this.parts.deliver(from, {requestId, claimId, verdict, inDoubt: false});
      return;
    }
    const now = this.parts.clock.now();
    this.carryOut(writer, writer.handleRequest(from, req, now));
  }

  outcome(outcome: ClaimOutcome): void {
    const writer = this.writers.get(outcome.partition);
    const now = this.parts.clock.now();
    if (writer) this.carryOut(writer, writer.handleOutcome(outcome, now));
  }

  tick(nowMs: number): void {
    for (const writer of this.writers.values()) {
      this.carryOut(writer, writer.tick(nowMs));
    }
  }

  /** Gives up all partitions; resolves when the log has answered. */
  async stop(): Promise<void> {
    this.setRoles(new Set());
    while (this.open.size > 0) await Promise.all(this.open);
  }

  /** Time in ms at which `tick` is due. */
  get wakeAtMs(): number {
    const times = [...this.writers.values()].map(writer => writer.wakeAtMs);
    return Math.min(Infinity, ...times);
  }

  private add(partition: number): void {
    const {writer, random} = this.parts;
    const options = {...CLAIM_WRITER_OPTIONS, writer, partition};
    this.writers.set(partition, new ClaimWriter(options, random));
  }

  private carryOut(writer: ClaimWriter, effects: ClaimWriterEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'reply') {
        this.parts.deliver(effect.to, effect.reply);
      } else if (effect.type === 'append') {
        this.track(this.append(writer, effect.partition, effect.body));
      } else this.track(this.read(writer, effect.partition, effect.from));
    }
  }

  private track(call: Promise<void>): void {
    const tracked = call.finally(() => this.open.delete(tracked));
    this.open.add(tracked);
  }

  private async append(writer: ClaimWriter, partition: number, body: string) {
    const {log, clock} = this.parts;
    const result = await log.append(streamOf(partition), body);
    const end = result.isOk()
      ? ({type: 'ok', offset: result.value} as const)
      : appendEndOf(result.error);
    this.carryOut(writer, writer.handleAppend(end, clock.now()));
    this.parts.onChange();
  }

  private async read(writer: ClaimWriter, partition: number, from: number) {
    const {log, clock} = this.parts;
    const options = {limit: PAGE_RECORDS, waitMs: 0};
    const page = await log.read(streamOf(partition), from, options);
    const end = page.isOk()
      ? ({type: 'ok', ...page.value} as const)
      : readEndOf(page.error);
    this.carryOut(writer, writer.handleRead(end, clock.now()));
    this.parts.onChange();
  }
}

function streamOf(partition: number): StreamName {
  return `claims-${partition}`;
}

function appendEndOf(err: LogError): AppendResult {
  return {type: err.code === 'outcome-unknown' ? 'unknown' : 'none'};
}

function readEndOf(err: LogError): ReadResult {
  const isExpired = err.code === 'trimmed' && err.bounds !== undefined;
  if (!isExpired) return {type: 'failed'};
  return {type: 'expired', earliest: err.bounds?.earliest ?? 0};
}
