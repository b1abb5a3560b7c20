/**
 * The writer of one partition: collects claims into batches, appends one at a
 * time, and grants a claim only after it has folded the batch in its place in
 * the stream together with all records before it. A second writer, or one that
 * was paused, is thereby harmless: it sees whose claim came first.
 */

import type {RandomSource} from '@turmericmill/utils';
import type {
  ClaimOutcome,
  ClaimReply,
  ClaimRequest,
  ClaimVerdict,
  KeptAnswer,
} from '@turmericmill/wire';

import {AppendPacer} from './append-pacer.js';
import {ClaimLedger, MAX_TIME_STEP_MS} from './claim-ledger.js';
import {ClaimQueue, type Asker, type QueuedOperation} from './claim-queue.js';
import {
  encodeBatch,
  type AnswerOperation,
  type StreamRecord,
} from './claim-record.js';
import {WRITER_CHART, type WriterEvent} from './claim-writer-chart.js';
import type {
  AppendResult,
  ClaimWriterEffect,
  ClaimWriterOptions,
  ClaimWriterState,
  ReadResult,
} from './claim-writer-types.js';

/** Bytes of a batch record that are kept for its head. */
const BATCH_HEAD_BYTES = 1024;

export class ClaimWriter {
  private state: ClaimWriterState = WRITER_CHART.initial;
  private hasRole = false;
  private ioOpen = false;
  private effects: ClaimWriterEffect[] = [];
  private readonly ledger: ClaimLedger;
  private readonly queue: ClaimQueue;
  /** The batch whose append is open or not yet read back. */
  private inFlight: QueuedOperation[] = [];
  private inFlightSeq = 0;
  private appendedBody = '';
  private nextSeq = 1;
  private readonly pacer: AppendPacer;
  /** Answers that are not folded yet, by key. */
  private readonly recentAnswers = new Map<string, AnswerOperation>();
  private retryAtMs = 0;
  private attempt = 0;

  constructor(
    private readonly options: ClaimWriterOptions,
    private readonly random: RandomSource,
  ) {
    this.ledger = new ClaimLedger(options);
    const maxItemBytes = options.maxRecordBytes - BATCH_HEAD_BYTES;
    const heartbeatMs = Math.min(options.windowMs / 2, MAX_TIME_STEP_MS);
    this.pacer = new AppendPacer(options.appendIntervalMs, heartbeatMs);
    this.queue = new ClaimQueue(options.maxQueueBytes, maxItemBytes);
  }

  /** What the writer is doing, for its status. */
  get status(): {state: ClaimWriterState; keys: number} {
    return {state: this.state, keys: this.ledger.size};
  }

  /** Time in ms at which `tick` has something to do; it may come earlier. */
  get wakeAtMs(): number {
    const {state} = this;
    if (state === 'waiting') return this.retryAtMs;
    if (state !== 'ready') return Infinity;
    return this.pacer.dueAtMs(this.queue.isUrgent);
  }

  /** Tells whether the membership names this node as the writer. */
  setRole(hasRole: boolean, nowMs: number): ClaimWriterEffect[] {
    if (hasRole === this.hasRole) return [];
    this.hasRole = hasRole;
    if (!hasRole) this.giveUpRole(nowMs);
    else if (this.state === 'idle') {
      this.ledger.restart(0, nowMs);
      this.move('gain');
      this.read();
    }
    return this.flush();
  }

  /** Takes a try at a claim from an entry node. */
  handleRequest(
    from: string,
    req: ClaimRequest,
    nowMs: number,
  ): ClaimWriterEffect[] {
    const deadlineMs = nowMs + req.remainingMs;
    const {requestId, claimId} = req;
    const asker = {from, requestId, claimId, deadlineMs};
    const early = this.earlyVerdict(req, nowMs);
    if (early) this.reply(asker, req.key, early);
    else {
      const {key, requestDigest} = req;
      const claim = {type: 'claim', key, claimId, requestDigest} as const;
      const taken = this.queue.push(claim, asker);
      if (!taken) this.reply(asker, key, 'unavailable');
    }
    this.proceed(nowMs);
    return this.flush();
  }

  /** Takes the end of a granted request, or its release. */
  handleOutcome(outcome: ClaimOutcome, nowMs: number): ClaimWriterEffect[] {
    if (!this.hasRole) return [];
    const {key, claimId, answer} = outcome;
    if (outcome.outcome === 'released') {
      this.queue.push({type: 'release', key, claimId});
    } else if (answer) {
      this.keepAnswer({type: 'answer', key, claimId, answer}, nowMs);
    }
    this.proceed(nowMs);
    return this.flush();
  }

  private keepAnswer(operation: AnswerOperation, nowMs: number): void {
    const {key, claimId} = operation;
    if (this.ledger.find(key)?.claimId !== claimId) return;
    if (this.recentAnswers.has(key) || !this.queue.push(operation)) return;
    this.recentAnswers.set(key, operation);
    this.pacer.noteAnswer(nowMs);
  }

  /** Takes the end of the append that was asked for. */
  handleAppend(result: AppendResult, nowMs: number): ClaimWriterEffect[] {
    this.ioOpen = false;
    if (result.type === 'none') this.appendFailed(nowMs);
    else if (result.type === 'ok' && result.offset === this.ledger.next) {
      this.fold({offset: result.offset, body: this.appendedBody});
      this.move('inOrder');
    } else {
      this.move('unsure');
      this.read();
    }
    this.afterIo(nowMs);
    return this.flush();
  }

  /** Takes the end of the read that was asked for. */
  handleRead(result: ReadResult, nowMs: number): ClaimWriterEffect[] {
    this.ioOpen = false;
    if (result.type === 'failed' || !this.follows(result)) {
      this.readFailed(nowMs);
    } else if (result.type === 'expired') {
      this.ledger.restart(result.earliest, nowMs);
      this.read();
    } else {
      for (const record of result.records) this.fold(record);
      if (this.ledger.next < result.next) this.read();
      else this.move('caughtUp');
    }
    this.afterIo(nowMs);
    return this.flush();
  }

  /** False when a page does not go on where the fold stands. */
  private follows(result: ReadResult): boolean {
    if (result.type !== 'ok') return true;
    const {next} = this.ledger;
    return result.records.every(({offset}, i) => offset === next + i);
  }

  /** Drives time-outs; to be called at least every few milliseconds. */
  tick(nowMs: number): ClaimWriterEffect[] {
    this.refuse(this.queue.takeExpired(nowMs), 'unavailable');
    if (this.state === 'waiting' && nowMs >= this.retryAtMs) {
      this.move('retry');
      this.read();
    }
    this.proceed(nowMs);
    return this.flush();
  }

  /** A verdict that needs no append, or undefined to claim the key. */
  private earlyVerdict(
    req: ClaimRequest,
    nowMs: number,
  ): ClaimVerdict | undefined {
    if (!this.hasRole || this.state === 'idle') return 'not-writer';
    if (this.state === 'waiting') return 'unavailable';
    if (this.state !== 'ready' && this.state !== 'appending') return undefined;
    const verdict = this.ledger.verdict(req);
    const isKnown = this.recentAnswerOf(req.key) !== undefined;
    if (verdict === 'claimed' && isKnown) return 'answered';
    if (verdict && verdict !== 'granted') return verdict;
    if (nowMs < this.ledger.coveredAtMs) return 'unavailable';
    if (verdict) return verdict;
    return this.ledger.size >= this.options.maxKeys ? 'unavailable' : undefined;
  }

  /** Starts whatever the state and the time allow. */
  private proceed(nowMs: number): void {
    if (this.state !== 'ready' || nowMs < this.wakeAtMs) return;
    if (nowMs < this.ledger.coveredAtMs) {
      this.refuse(this.queue.takeClaims(), 'unavailable');
    }
    if (nowMs >= this.wakeAtMs) this.appendBatch(nowMs);
  }

  private appendBatch(nowMs: number): void {
    const {writer, windowMs, maxRecordBytes} = this.options;
    this.inFlight = this.queue.take(maxRecordBytes - BATCH_HEAD_BYTES);
    this.inFlightSeq = this.nextSeq++;
    const head = {
      writer,
      seq: this.inFlightSeq,
      atMs: nowMs,
      untilMs: nowMs + windowMs,
    };
    const {activeWriters} = this.ledger;
    this.pacer.appended(activeWriters, this.queue.length > 0, nowMs);
    this.move('append');
    this.append(
      encodeBatch(
        head,
        this.inFlight.map(item => item.encoded),
      ),
    );
  }

  /** Folds a record; the batch in flight is settled if this is it. */
  private fold(record: StreamRecord): void {
    const batch = this.ledger.fold(record);
    if (batch?.writer !== this.options.writer) return;
    if (batch.seq !== this.inFlightSeq) return;
    const items = this.inFlight;
    this.inFlight = [];
    this.attempt = 0;
    for (const {operation, asker} of items) {
      if (operation.type === 'answer') this.recentAnswers.delete(operation.key);
      if (operation.type !== 'claim' || !asker) continue;
      const verdict = this.ledger.verdict(operation) ?? 'unavailable';
      this.reply(asker, operation.key, verdict);
    }
  }

  private appendFailed(nowMs: number): void {
    this.queue.putBack(this.inFlight, false);
    this.inFlight = [];
    this.move('failed');
    this.backOff(nowMs);
  }

  /** Lets go of a batch in doubt: its claims are refused and released. */
  private readFailed(nowMs: number): void {
    this.queue.putBack(this.inFlight, true);
    this.inFlight = [];
    this.move('failed');
    this.backOff(nowMs);
  }

  private backOff(nowMs: number): void {
    const {retryBaseMs, retryCapMs} = this.options;
    this.refuse(this.queue.takeClaims(), 'unavailable');
    this.retryAtMs =
      nowMs + this.random.jitter(retryBaseMs, this.attempt, retryCapMs);
    this.attempt++;
  }

  /** Ends an operation of the log: drops the role, or goes on. */
  private afterIo(nowMs: number): void {
    if (!this.hasRole) {
      this.giveUpRole(nowMs);
      return;
    }
    if (this.state === 'ready' && this.inFlight.length > 0) {
      this.queue.putBack(this.inFlight, true);
      this.inFlight = [];
    }
    this.proceed(nowMs);
  }

  /**
   * Tells askers to ask the new writer; it decides the same tries anew. What is
   * known of ended calls is appended first.
   */
  private giveUpRole(nowMs: number): void {
    this.refuse(this.queue.takeClaims(), 'not-writer');
    if (this.ioOpen) return;
    this.refuse(this.inFlight, 'not-writer');
    this.inFlight = [];
    if (this.state === 'ready' && this.queue.length > 0) {
      this.appendBatch(nowMs);
      return;
    }
    this.queue.clear();
    this.recentAnswers.clear();
    this.pacer.dropAnswers();
    this.ledger.restart(0, 0);
    this.move('lose');
  }

  /**
   * Refuses claims that were not folded. One that may still land is released
   * by its entry node: only that knows that the try is never run.
   */
  private refuse(
    items: readonly QueuedOperation[],
    verdict: ClaimVerdict,
  ): void {
    for (const {operation, asker, mayHaveLanded} of items) {
      if (asker) this.reply(asker, operation.key, verdict, mayHaveLanded);
    }
  }

  private reply(
    asker: Asker,
    key: string,
    verdict: ClaimVerdict,
    inDoubt = false,
  ): void {
    const {requestId, claimId} = asker;
    const reply: ClaimReply = {requestId, claimId, verdict, inDoubt};
    const answer = this.ledger.find(key)?.answer ?? this.recentAnswerOf(key);
    if (verdict === 'answered' && answer) reply.answer = answer;
    this.effects.push({type: 'reply', to: asker.from, reply});
  }

  /** The answer that the holder of a key reported, if not folded yet. */
  private recentAnswerOf(key: string): KeptAnswer | undefined {
    const recent = this.recentAnswers.get(key);
    if (recent?.claimId !== this.ledger.find(key)?.claimId) return undefined;
    return recent?.answer;
  }

  private read(): void {
    if (!this.hasRole && this.inFlight.length === 0) return;
    this.ioOpen = true;
    const {partition} = this.options;
    this.effects.push({type: 'read', partition, from: this.ledger.next});
  }

  private append(body: string): void {
    this.ioOpen = true;
    this.appendedBody = body;
    const {partition} = this.options;
    this.effects.push({type: 'append', partition, body});
  }

  private move(type: WriterEvent['type']): void {
    this.state = WRITER_CHART.next(this.state, {type});
  }

  private flush(): ClaimWriterEffect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }
}
