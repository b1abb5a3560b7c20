/**
 * The state that results from folding one partition's stream: which keys are
 * claimed, and by which attempt. The first claim in log order holds the key,
 * regardless of its writer, so concurrent writers are harmless. Answers are kept
 * on a best-effort basis.
 */

import type {ClaimVerdict, KeptAnswer} from '@turmericmill/wire';

import {decodeBatch} from './claim-record.js';
import type {
  AnswerOperation,
  ClaimBatch,
  ClaimLogOperation,
  ClaimOperation,
  StreamRecord,
} from './claim-record.js';

/**
 * Maximum step in ms by which one record advances the stream time, so that a
 * writer with a wrong clock cannot expire all keys at once.
 */
export const MAX_TIME_STEP_MS = 10_000;

/** A claimed key. */
export interface ClaimEntry {
  claimId: string;
  requestDigest: string;
  /** Stream time in ms at which the key expires. */
  untilMs: number;
  answer?: KeptAnswer;
  /** True if an answer was recorded, whether it is still kept or not. */
  answered: boolean;
}

export interface LedgerOptions {
  /** Retention time of keys in ms. */
  windowMs: number;
  /** Maximum total size in bytes of the bodies of kept answers. */
  maxAnswerBytes: number;
}

/** Stream time in ms for which a writer counts as active after a batch. */
const ACTIVE_WRITER_MS = 2_000;

export class ClaimLedger {
  private readonly entries = new Map<string, ClaimEntry>();
  /** Keys whose answers are kept, oldest answer first. */
  private readonly keptAnswerKeys = new Set<string>();
  /** Claim ids of released attempts, with their expiry in stream time in ms. */
  private readonly releasedAttempts = new Map<string, number>();
  /** Stream time in ms of each writer's newest batch. */
  private readonly writers = new Map<string, number>();
  private answerBytes = 0;
  private streamMs = 0;
  private awaitsFirstBatch = false;

  /** Offset of the next record to fold. */
  next = 0;
  /**
   * Time in ms before which no claim may be granted: records that the log no
   * longer retains may contain keys that have not expired.
   */
  coveredAtMs = 0;

  constructor(private readonly options: LedgerOptions) {}

  /** Number of claimed keys and released attempts. */
  get size(): number {
    return this.entries.size + this.releasedAttempts.size;
  }

  /** Number of writers that have appended recently. */
  get activeWriters(): number {
    return this.writers.size;
  }

  /** Total size in bytes of the bodies of kept answers. */
  get keptBytes(): number {
    return this.answerBytes;
  }

  /** Clears the state and continues at the earliest retained record. */
  restart(earliest: number, nowMs: number): void {
    this.entries.clear();
    this.keptAnswerKeys.clear();
    this.releasedAttempts.clear();
    this.writers.clear();
    this.answerBytes = 0;
    this.streamMs = 0;
    this.next = earliest;
    this.awaitsFirstBatch = earliest > 0;
    this.coveredAtMs = earliest > 0 ? nowMs + this.options.windowMs : 0;
  }

  find(key: string): ClaimEntry | undefined {
    return this.entries.get(key);
  }

  /**
   * Returns the verdict on an attempt from the folded records alone, or
   * undefined if the key is free. A repeated request of the holder is granted
   * again: its entry node runs it at most once, however often it is granted.
   */
  verdict(claim: Omit<ClaimOperation, 'type'>): ClaimVerdict | undefined {
    const entry = this.entries.get(claim.key);
    if (!entry) return undefined;
    if (entry.requestDigest !== claim.requestDigest) return 'mismatch';
    if (entry.answer) return 'answered';
    if (entry.claimId === claim.claimId && !entry.answered) return 'granted';
    return 'claimed';
  }

  /** Folds the record at offset `next`; returns its batch if it has one. */
  fold(record: StreamRecord): ClaimBatch | undefined {
    if (record.offset !== this.next) {
      throw new RangeError(
        `Record at offset ${record.offset} is out of order; expected ${this.next}.`,
      );
    }
    this.next = record.offset + 1;
    const batch = decodeBatch(record.body);
    if (!batch) return undefined;
    this.recordFirstBatch(batch);
    for (const operation of batch.operations) {
      this.apply(operation, batch.untilMs);
    }
    this.advanceTime(batch.atMs);
    this.recordWriter(batch);
    return batch;
  }

  /** Lowers `coveredAtMs`: keys in expired records are older than this batch. */
  private recordFirstBatch(batch: ClaimBatch): void {
    if (!this.awaitsFirstBatch) return;
    this.awaitsFirstBatch = false;
    const coveredAtMs = batch.atMs + this.options.windowMs;
    this.coveredAtMs = Math.min(this.coveredAtMs, coveredAtMs);
  }

  private recordWriter({writer}: ClaimBatch): void {
    this.writers.set(writer, this.streamMs);
    for (const [name, atMs] of this.writers) {
      if (atMs + ACTIVE_WRITER_MS < this.streamMs) this.writers.delete(name);
    }
  }

  private apply(operation: ClaimLogOperation, untilMs: number): void {
    switch (operation.type) {
      case 'claim':
        this.claim(operation, untilMs);
        break;
      case 'release':
        this.release(operation.key, operation.claimId, untilMs);
        break;
      case 'answer':
        this.keepAnswer(operation);
    }
  }

  private claim(operation: ClaimOperation, untilMs: number): void {
    const {key, claimId, requestDigest} = operation;
    if (this.entries.has(key) || this.releasedAttempts.has(claimId)) return;
    this.entries.set(key, {claimId, requestDigest, untilMs, answered: false});
  }

  private release(key: string, claimId: string, untilMs: number): void {
    const entry = this.entries.get(key);
    if (entry?.claimId === claimId) {
      if (entry.answered) return;
      this.entries.delete(key);
    }
    this.releasedAttempts.set(claimId, untilMs);
  }

  private keepAnswer({key, claimId, answer}: AnswerOperation): void {
    const entry = this.entries.get(key);
    if (entry?.claimId !== claimId || entry.answered) return;
    entry.answered = true;
    entry.answer = answer;
    this.keptAnswerKeys.add(key);
    this.answerBytes += answer.body.length;
    for (const oldest of this.keptAnswerKeys) {
      if (this.answerBytes <= this.options.maxAnswerBytes) return;
      this.dropAnswer(oldest);
    }
  }

  private dropAnswer(key: string): void {
    const entry = this.entries.get(key);
    this.keptAnswerKeys.delete(key);
    this.answerBytes -= entry?.answer?.body.length ?? 0;
    if (entry) delete entry.answer;
  }

  private advanceTime(atMs: number): void {
    const limitMs =
      this.streamMs === 0 ? atMs : this.streamMs + MAX_TIME_STEP_MS;
    this.streamMs = Math.max(this.streamMs, Math.min(atMs, limitMs));
    for (const [key, entry] of this.entries) {
      if (entry.untilMs > this.streamMs) break;
      this.dropAnswer(key);
      this.entries.delete(key);
    }
    for (const [claimId, untilMs] of this.releasedAttempts) {
      if (untilMs > this.streamMs) break;
      this.releasedAttempts.delete(claimId);
    }
  }
}
