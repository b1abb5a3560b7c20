/**
 * The fold of one partition's stream: which keys are claimed, and by which
 * try. The first claim in log order holds the key, whoever wrote it; so several
 * writers at once do no harm. Kept answers are best effort.
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
 * Largest step in ms by which one record moves the stream's time on. A writer
 * with a wrong clock thus cannot expire all keys at once.
 */
export const MAX_TIME_STEP_MS = 10_000;

/** A claimed key. */
export interface ClaimEntry {
  claimId: string;
  requestDigest: string;
  /** Time in ms of the stream at which the key is forgotten. */
  untilMs: number;
  answer?: KeptAnswer;
  /** True when an answer was given, kept or not. */
  answered: boolean;
}

export interface LedgerOptions {
  /** Time in ms for which a key is remembered. */
  windowMs: number;
  /** Largest sum of the bodies of kept answers in bytes. */
  maxAnswerBytes: number;
}

/** Time in ms of the stream for which a writer counts as active. */
const ACTIVE_WRITER_MS = 2_000;

export class ClaimLedger {
  private readonly entries = new Map<string, ClaimEntry>();
  private readonly answeredKeys = new Set<string>();
  /** Tries that were released, with the time in ms until which. */
  private readonly releasedTries = new Map<string, number>();
  /** Time in ms of the newest batch of each writer. */
  private readonly writers = new Map<string, number>();
  private answerBytes = 0;
  private streamMs = 0;
  private awaitsFirst = false;

  /** Offset of the next record to fold. */
  next = 0;
  /**
   * Time in ms before which no claim may be granted, because records that
   * are no longer retained may hold keys that are still to be remembered.
   */
  coveredAtMs = 0;

  constructor(private readonly options: LedgerOptions) {}

  /** Number of keys and released tries remembered. */
  get size(): number {
    return this.entries.size + this.releasedTries.size;
  }

  /** Number of writers that appended lately. */
  get activeWriters(): number {
    return this.writers.size;
  }

  /** Bytes of the kept answers. */
  get keptBytes(): number {
    return this.answerBytes;
  }

  /** Starts over at the earliest record that is still retained. */
  restart(earliest: number, nowMs: number): void {
    this.entries.clear();
    this.answeredKeys.clear();
    this.releasedTries.clear();
    this.writers.clear();
    this.answerBytes = 0;
    this.streamMs = 0;
    this.next = earliest;
    this.awaitsFirst = earliest > 0;
    this.coveredAtMs = earliest > 0 ? nowMs + this.options.windowMs : 0;
  }

  find(key: string): ClaimEntry | undefined {
    return this.entries.get(key);
  }

  /**
   * The verdict that the folded records alone give for a try, or undefined
   * when the key is free. The same try is told the same again: its entry node
   * runs it at most once, however often it is told so.
   */
  verdict(claim: Omit<ClaimOperation, 'type'>): ClaimVerdict | undefined {
    const entry = this.entries.get(claim.key);
    if (!entry) return undefined;
    if (entry.requestDigest !== claim.requestDigest) return 'mismatch';
    if (entry.answer) return 'answered';
    if (entry.claimId === claim.claimId && !entry.answered) return 'granted';
    return 'claimed';
  }

  /** Folds the record at offset `next`; returns its batch if it is one. */
  fold(record: StreamRecord): ClaimBatch | undefined {
    if (record.offset !== this.next) {
      throw new RangeError(`Offset ${record.offset}, not ${this.next}.`);
    }
    this.next = record.offset + 1;
    const batch = decodeBatch(record.body);
    if (!batch) return undefined;
    this.noteFirst(batch);
    for (const operation of batch.operations) {
      this.apply(operation, batch.untilMs);
    }
    this.moveTime(batch.atMs);
    this.noteWriter(batch);
    return batch;
  }

  private noteFirst(batch: ClaimBatch): void {
    if (!this.awaitsFirst) return;
    this.awaitsFirst = false;
    const coveredAtMs = batch.atMs + this.options.windowMs;
    this.coveredAtMs = Math.min(this.coveredAtMs, coveredAtMs);
  }

  private noteWriter({writer}: ClaimBatch): void {
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
    if (this.entries.has(key) || this.releasedTries.has(claimId)) return;
    this.entries.set(key, {claimId, requestDigest, untilMs, answered: false});
  }

  private release(key: string, claimId: string, untilMs: number): void {
    const entry = this.entries.get(key);
    if (entry?.claimId === claimId) {
      if (entry.answered) return;
      this.entries.delete(key);
    }
    this.releasedTries.set(claimId, untilMs);
  }

  private keepAnswer({key, claimId, answer}: AnswerOperation): void {
    const entry = this.entries.get(key);
    if (entry?.claimId !== claimId || entry.answered) return;
    entry.answered = true;
    entry.answer = answer;
    this.answeredKeys.add(key);
    this.answerBytes += answer.body.length;
    for (const oldest of this.answeredKeys) {
      if (this.answerBytes <= this.options.maxAnswerBytes) return;
      this.dropAnswer(oldest);
    }
  }

  private dropAnswer(key: string): void {
    const entry = this.entries.get(key);
    this.answeredKeys.delete(key);
    this.answerBytes -= entry?.answer?.body.length ?? 0;
    if (entry) delete entry.answer;
  }

  private moveTime(atMs: number): void {
    const limitMs =
      this.streamMs === 0 ? atMs : this.streamMs + MAX_TIME_STEP_MS;
    this.streamMs = Math.max(this.streamMs, Math.min(atMs, limitMs));
    for (const [key, entry] of this.entries) {
      if (entry.untilMs > this.streamMs) break;
      this.dropAnswer(key);
      this.entries.delete(key);
    }
    for (const [claimId, untilMs] of this.releasedTries) {
      if (untilMs > this.streamMs) break;
      this.releasedTries.delete(claimId);
    }
  }
}
