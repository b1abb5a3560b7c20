/**
 * What a publisher does next: append the records of a publication, look up an
 * append whose answer was lost, and wait for the verdict of the fold.
 */

import type {LogError, LogPage, Offset} from '@turmericmill/platform';
import type {RandomSource, Result} from '@turmericmill/utils';

import type {ConfigState} from '../fold/config-state.js';
import {foldRecord} from '../fold/fold-record.js';
import type {
  AcceptedVerdict,
  RejectedVerdict,
  Verdict,
} from '../fold/fold-record.js';

/** Back-off between calls to a log that fails. */
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 5000;

/** Records of one page, and how long a page is waited for. */
const PAGE_RECORDS = 256;
const PAGE_WAIT_MS = 1000;

/** How a publication ended. */
export type PublishOutcome =
  | AcceptedVerdict
  | RejectedVerdict
  /** Its records did not all reach the log in time; it never has effect. */
  | {status: 'expired'; id: string}
  /** The log refuses the records; it has no effect. */
  | {status: 'refused'; id: string; error: LogError}
  /** The deadline passed; it may still come into force. */
  | {status: 'unknown'; id: string}
  /** Records that were not read have expired; look at the history. */
  | {status: 'unreadable'; id: string; error: LogError};

/** The next step of a publisher. */
export type PublishAction =
  | {type: 'append'; body: string}
  | {type: 'read'; from: Offset; limit: number; waitMs: number}
  | {type: 'wait'; ms: number}
  | {type: 'done'; outcome: PublishOutcome};

type Mode = 'appending' | 'looking-up' | 'awaiting-verdict';

/** What is to be published, and from which state of the fold. */
export interface PublishRequest {
  id: string;
  /** Bodies from `buildPublication`. */
  bodies: readonly string[];
  /** Any state of the fold that is not after the first append. */
  state: ConfigState;
  /** Time in ms after which the outcome is given up as unknown. */
  deadlineMs: number;
}

/** The decisions of one publication; `next` after each report of an effect. */
export class PublishDecision {
  private state: ConfigState;
  private mode: Mode = 'appending';
  private part = 0;
  private attempt = 0;
  private waiting = false;
  private outcome: PublishOutcome | undefined;

  constructor(
    private readonly request: PublishRequest,
    private readonly random: RandomSource,
  ) {
    this.state = request.state;
  }

  /** The state of the fold as far as it was read. */
  get foldedState(): ConfigState {
    return this.state;
  }

  /** The next step at `nowMs`. */
  next(nowMs: number): PublishAction {
    if (!this.outcome && nowMs >= this.request.deadlineMs) {
      this.outcome = {status: 'unknown', id: this.request.id};
    }
    if (this.outcome) return {type: 'done', outcome: this.outcome};
    if (this.waiting) {
      this.waiting = false;
      const ms = this.random.jitter(RETRY_BASE_MS, this.attempt, RETRY_CAP_MS);
      return {type: 'wait', ms};
    }
    const body = this.request.bodies[this.part];
    if (this.mode === 'appending' && body !== undefined) {
      return {type: 'append', body};
    }
    const waitMs = this.mode === 'looking-up' ? 0 : PAGE_WAIT_MS;
    const from = this.state.nextOffset;
    return {type: 'read', from, limit: PAGE_RECORDS, waitMs};
  }

  /** Takes the result of an append. */
  onAppended(result: Result<Offset, LogError>): void {
    if (result.isOk()) {
      this.finishPart();
      return;
    }
    const {id} = this.request;
    switch (result.error.code) {
      case 'unavailable':
        this.retryLater();
        break;
      case 'outcome-unknown':
        this.retryLater();
        this.mode = 'looking-up';
        break;
      case 'trimmed':
      case 'too-large':
      case 'refused':
        this.outcome = {status: 'refused', id, error: result.error};
    }
  }

  /** Takes the result of a read. */
  onPage(result: Result<LogPage, LogError>): void {
    if (result.isErr()) {
      this.onReadError(result.error);
      return;
    }
    this.attempt = 0;
    for (const record of result.value.records) {
      const step = foldRecord(this.state, record);
      this.state = step.state;
      if (step.expired.includes(this.request.id)) {
        this.outcome = {status: 'expired', id: this.request.id};
      }
      this.onVerdict(step.verdict);
    }
    const atEnd = this.state.nextOffset >= result.value.next;
    if (this.mode === 'looking-up' && atEnd) this.onLookedUp();
  }

  private onReadError(error: LogError): void {
    if (error.code === 'trimmed') {
      this.outcome = {status: 'unreadable', id: this.request.id, error};
      return;
    }
    this.retryLater();
  }

  private onVerdict(verdict: Verdict): void {
    if (verdict.status !== 'accepted' && verdict.status !== 'rejected') return;
    if (verdict.id === this.request.id) this.outcome = verdict;
  }

  /** The whole log was read: the append is there, or it is repeated. */
  private onLookedUp(): void {
    const pending = this.state.pending.find(
      entry => entry.id === this.request.id,
    );
    this.mode = 'appending';
    if (pending && pending.received[this.part] !== null) this.finishPart();
  }

  private finishPart(): void {
    this.part++;
    this.attempt = 0;
    const whole = this.part >= this.request.bodies.length;
    this.mode = whole ? 'awaiting-verdict' : 'appending';
  }

  private retryLater(): void {
    this.attempt++;
    this.waiting = true;
  }
}
