/**
 * Writer of one partition: collects claims into batches, and appends one batch
 * at a time. It grants a claim only after it has folded all records up to and
 * including the claim's batch, in stream order. A second writer, or one that was
 * paused, is therefore harmless: it sees which claim came first.
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
import {ClaimQueue, type Sender, type QueuedOperation} from './claim-queue.js';
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

/** Bytes of a batch record that are reserved for its head. */
const BATCH_HEAD_BYTES = 1024;

export class ClaimWriter {
  private state: ClaimWriterState = WRITER_CHART.initial;
  private hasRole = false;
  /** True while an append or read is in progress. */
  private isIoPending = false;
  private effects: ClaimWriterEffect[] = [];
  private readonly ledger: ClaimLedger;
  private readonly queue: ClaimQueue;
  /** The batch that is being appended or has not been read back yet. */
  private inFlight: QueuedOperation[] = [];
  private inFlightSeq = 0;
  private appendedBody = '';
  private nextSeq = 1;
  private readonly pacer: AppendPacer;
  /** Answers that have not been folded yet, by key. */
  private readonly recentAnswers = new Map<string, AnswerOperation>();
  private retryAtMs = 0;
  /** Failed appends and reads since an own batch was folded, for backoff. */
  private failures = 0;

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

  /** State and number of keys, for the node's status. */
  get status(): {state: ClaimWriterState; keys: number} {
    return {state: this.state, keys: this.ledger.size};
  }

  /**
   * Time in ms at which `tick` next retries a read or appends a batch; `tick`
   * may be called earlier.
   */
  get wakeAtMs(): number {
    const {state} = this;
    if (state === 'waiting') return this.retryAtMs;
    if (state !== 'ready') return Infinity;
    return this.pacer.nextAppendAtMs(this.queue.isUrgent);
  }

  /** Sets whether the membership selects this node as the writer. */
  setRole(hasRole: boolean, nowMs: number): ClaimWriterEffect[] {
    if (hasRole === this.hasRole) return [];
    this.hasRole = hasRole;
    if (!hasRole) this.resignRole(nowMs);
    else if (this.state === 'idle') {
      this.ledger.restart(0, nowMs);
      this.transition('gain');
      this.read();
    }
    return this.flush();
  }

  /** Handles a claim request from an entry node. */
  handleRequest(
    from: string,
    req: ClaimRequest,
    nowMs: number,
  ): ClaimWriterEffect[] {
    const deadlineMs = nowMs + req.remainingMs;
    const {requestId, claimId} = req;
    const sender = {from, requestId, claimId, deadlineMs};
    const verdict = this.immediateVerdict(req, nowMs);
    if (verdict) this.reply(sender, req.key, verdict);
    else {
      const {key, requestDigest} = req;
      const claim = {type: 'claim', key, claimId, requestDigest} as const;
      const queued = this.queue.push(claim, sender);
      if (!queued) this.reply(sender, key, 'unavailable');
    }
    this.proceed(nowMs);
    return this.flush();
  }

  /** Handles the answer or the release of a claim. */
  handleOutcome(outcome: ClaimOutcome, nowMs: number): ClaimWriterEffect[] {
    if (!this.hasRole) return [];
    const {key, claimId, answer} = outcome;
    if (outcome.outcome === 'released') {
      this.queue.push({type: 'release', key, claimId});
    } else if (answer) {
      this.queueAnswer({type: 'answer', key, claimId, answer}, nowMs);
    }
    this.proceed(nowMs);
    return this.flush();
  }

  private queueAnswer(operation: AnswerOperation, nowMs: number): void {
    const {key, claimId} = operation;
    if (this.ledger.find(key)?.claimId !== claimId) return;
    if (this.recentAnswers.has(key) || !this.queue.push(operation)) return;
    this.recentAnswers.set(key, operation);
    this.pacer.recordAnswer(nowMs);
  }

  /** Handles the result of the requested append. */
  handleAppend(result: AppendResult, nowMs: number): ClaimWriterEffect[] {
    this.isIoPending = false;
    if (result.type === 'none') this.appendFailed(nowMs);
    else if (result.type === 'ok' && result.offset === this.ledger.next) {
      this.fold({offset: result.offset, body: this.appendedBody});
      this.transition('inOrder');
    } else {
      this.transition('unsure');
      this.read();
    }
    this.afterIo(nowMs);
    return this.flush();
  }

  /** Handles the result of the requested read. */
  handleRead(result: ReadResult, nowMs: number): ClaimWriterEffect[] {
    this.isIoPending = false;
    if (result.type === 'failed' || !this.continuesAtNext(result)) {
      this.readFailed(nowMs);
    } else if (result.type === 'expired') {
      this.ledger.restart(result.earliest, nowMs);
      this.read();
    } else {
      for (const record of result.records) this.fold(record);
      if (this.ledger.next < result.next) this.read();
      else this.transition('caughtUp');
    }
    this.afterIo(nowMs);
    return this.flush();
  }

  /** False if a page of records does not continue at the next offset. */
  private continuesAtNext(result: ReadResult): boolean {
    if (result.type !== 'ok') return true;
    const {next} = this.ledger;
    return result.records.every(({offset}, i) => offset === next + i);
  }

  /** Handles timeouts; must be called at least every few milliseconds. */
  tick(nowMs: number): ClaimWriterEffect[] {
    this.refuse(this.queue.takeExpired(nowMs), 'unavailable');
    if (this.state === 'waiting' && nowMs >= this.retryAtMs) {
      this.transition('retry');
      this.read();
    }
    this.proceed(nowMs);
    return this.flush();
  }

  /** Returns a verdict that needs no append, or undefined if one is needed. */
  private immediateVerdict(
    req: ClaimRequest,
    nowMs: number,
  ): ClaimVerdict | undefined {
    if (!this.hasRole || this.state === 'idle') return 'not-writer';
    if (this.state === 'waiting') return 'unavailable';
    if (this.state !== 'ready' && this.state !== 'appending') return undefined;
    const verdict = this.ledger.verdict(req);
    const hasRecentAnswer = this.recentAnswerOf(req.key) !== undefined;
    if (verdict === 'claimed' && hasRecentAnswer) return 'answered';
    if (verdict && verdict !== 'granted') return verdict;
    if (nowMs < this.ledger.coveredAtMs) return 'unavailable';
    if (verdict) return verdict;
    return this.ledger.size >= this.options.maxKeys ? 'unavailable' : undefined;
  }

  /**
   * Appends the next batch if the state and the pacing allow it. Claims that
   * must not be granted yet are refused first.
   */
  private proceed(nowMs: number): void {
    if (this.state !== 'ready' || nowMs < this.wakeAtMs) return;
    if (nowMs < this.ledger.coveredAtMs) {
      this.refuse(this.queue.takeClaims(), 'unavailable');
    }
    if (nowMs >= this.wakeAtMs) this.appendBatch(nowMs);
  }

  private appendBatch(nowMs: number): void {
    const {writer, windowMs, maxRecordBytes} = this.options;
    this.inFlight = this.queue.takeBatch(maxRecordBytes - BATCH_HEAD_BYTES);
    this.inFlightSeq = this.nextSeq++;
    const head = {
      writer,
      seq: this.inFlightSeq,
      atMs: nowMs,
      untilMs: nowMs + windowMs,
    };
    const {activeWriters} = this.ledger;
    this.pacer.recordAppend(activeWriters, this.queue.length > 0, nowMs);
    this.transition('append');
    this.append(
      encodeBatch(
        head,
        this.inFlight.map(item => item.encoded),
      ),
    );
  }

  /** Folds a record; if it is the batch in flight, replies to its claims. */
  private fold(record: StreamRecord): void {
    const batch = this.ledger.fold(record);
    if (batch?.writer !== this.options.writer) return;
    if (batch.seq !== this.inFlightSeq) return;
    const items = this.inFlight;
    this.inFlight = [];
    this.failures = 0;
    for (const {operation, sender} of items) {
      if (operation.type === 'answer') this.recentAnswers.delete(operation.key);
      if (operation.type !== 'claim' || !sender) continue;
      const verdict = this.ledger.verdict(operation) ?? 'unavailable';
      this.reply(sender, operation.key, verdict);
    }
  }

  private appendFailed(nowMs: number): void {
    this.queue.putBack(this.inFlight, false);
    this.inFlight = [];
    this.transition('failed');
    this.backOff(nowMs);
  }

  /**
   * Puts a batch in doubt back into the queue. Its claims are refused, and
   * their entry nodes release them.
   */
  private readFailed(nowMs: number): void {
    this.queue.putBack(this.inFlight, true);
    this.inFlight = [];
    this.transition('failed');
    this.backOff(nowMs);
  }

  private backOff(nowMs: number): void {
    const {retryBaseMs, retryCapMs} = this.options;
    this.refuse(this.queue.takeClaims(), 'unavailable');
    this.retryAtMs =
      nowMs + this.random.jitter(retryBaseMs, this.failures, retryCapMs);
    this.failures++;
  }

  /** Continues after an append or read, or completes the loss of the role. */
  private afterIo(nowMs: number): void {
    if (!this.hasRole) {
      this.resignRole(nowMs);
      return;
    }
    if (this.state === 'ready' && this.inFlight.length > 0) {
      this.queue.putBack(this.inFlight, true);
      this.inFlight = [];
    }
    this.proceed(nowMs);
  }

  /**
   * Refers pending claims to the new writer, which decides on the same attempts
   * again. Queued releases and answers are appended before the role is lost.
   */
  private resignRole(nowMs: number): void {
    this.refuse(this.queue.takeClaims(), 'not-writer');
    if (this.isIoPending) return;
    this.refuse(this.inFlight, 'not-writer');
    this.inFlight = [];
    if (this.state === 'ready' && this.queue.length > 0) {
      this.appendBatch(nowMs);
      return;
    }
    this.queue.clear();
    this.recentAnswers.clear();
    this.pacer.clearAnswers();
    this.ledger.restart(0, 0);
    this.transition('lose');
  }

  /**
   * Refuses claims that were not folded. A claim that may still reach the stream
   * is released by its entry node, because only that node knows that the attempt
   * is never run.
   */
  private refuse(
    items: readonly QueuedOperation[],
    verdict: ClaimVerdict,
  ): void {
    for (const {operation, sender, mayBeInStream} of items) {
      if (sender) this.reply(sender, operation.key, verdict, mayBeInStream);
    }
  }

  private reply(
    sender: Sender,
    key: string,
    verdict: ClaimVerdict,
    inDoubt = false,
  ): void {
    const {requestId, claimId} = sender;
    const reply: ClaimReply = {requestId, claimId, verdict, inDoubt};
    const answer = this.ledger.find(key)?.answer ?? this.recentAnswerOf(key);
    if (verdict === 'answered' && answer) reply.answer = answer;
    this.effects.push({type: 'reply', to: sender.from, reply});
  }

  /** The answer reported by the holder of a key, if not folded yet. */
  private recentAnswerOf(key: string): KeptAnswer | undefined {
    const recent = this.recentAnswers.get(key);
    if (recent?.claimId !== this.ledger.find(key)?.claimId) return undefined;
    return recent?.answer;
  }

  private read(): void {
    if (!this.hasRole && this.inFlight.length === 0) return;
    this.isIoPending = true;
    const {partition} = this.options;
    this.effects.push({type: 'read', partition, from: this.ledger.next});
  }

  private append(body: string): void {
    this.isIoPending = true;
    this.appendedBody = body;
    const {partition} = this.options;
    this.effects.push({type: 'append', partition, body});
  }

  private transition(type: WriterEvent['type']): void {
    this.state = WRITER_CHART.next(this.state, {type});
  }

  private flush(): ClaimWriterEffect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }
}
