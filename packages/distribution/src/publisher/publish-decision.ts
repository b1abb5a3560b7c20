/**
 * State machine of a publisher. It appends the records of a publication, looks
 * up an append whose answer was lost, and waits for the verdict of the fold.
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

/** Base and maximum of the exponential backoff after a failed log call. */
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 5000;

/** Maximum number of records in one page. */
const PAGE_RECORDS = 256;
/** Time for which the log may delay a page while no record arrives. */
const PAGE_WAIT_MS = 1000;

/** Outcome of a publication. */
export type PublishOutcome =
  | AcceptedVerdict
  | RejectedVerdict
  /** Not all records reached the log in time; it never has an effect. */
  | {status: 'expired'; id: string}
  /** The log refused a record; the publication has no effect. */
  | {status: 'refused'; id: string; error: LogError}
  /** The deadline passed before a verdict; it may still come into force. */
  | {status: 'unknown'; id: string}
  /** Unread records expired; the history may show the outcome. */
  | {status: 'unreadable'; id: string; error: LogError};

/** What the publisher has to do next. */
export type PublishAction =
  | {type: 'append'; body: string}
  | {type: 'read'; from: Offset; limit: number; waitMs: number}
  | {type: 'wait'; ms: number}
  | {type: 'done'; outcome: PublishOutcome};

type PublishPhase = 'appending' | 'looking-up' | 'awaiting-verdict';

/** The records to publish, and the folded state from which to read the log. */
export interface PublishRequest {
  id: string;
  /** Bodies from `buildPublication`. */
  bodies: readonly string[];
  /** Any folded state of the log from before the first append. */
  state: ConfigState;
  /** Time in ms at which the outcome becomes `unknown`. */
  deadlineMs: number;
}

/**
 * Decides the steps of one publication. `next` has to be called after each
 * result that is passed in.
 */
export class PublishDecision {
  private state: ConfigState;
  private phase: PublishPhase = 'appending';
  private part = 0;
  private attempt = 0;
  private needsBackoff = false;
  private outcome: PublishOutcome | undefined;

  constructor(
    private readonly request: PublishRequest,
    private readonly random: RandomSource,
  ) {
    this.state = request.state;
  }

  /** The state after the records read so far. */
  get foldedState(): ConfigState {
    return this.state;
  }

  /** The action to carry out at `nowMs`. */
  next(nowMs: number): PublishAction {
    if (!this.outcome && nowMs >= this.request.deadlineMs) {
      this.outcome = {status: 'unknown', id: this.request.id};
    }
    if (this.outcome) return {type: 'done', outcome: this.outcome};
    if (this.needsBackoff) {
      this.needsBackoff = false;
      const ms = this.random.jitter(RETRY_BASE_MS, this.attempt, RETRY_CAP_MS);
      return {type: 'wait', ms};
    }
    const body = this.request.bodies[this.part];
    if (this.phase === 'appending' && body !== undefined) {
      return {type: 'append', body};
    }
    const waitMs = this.phase === 'looking-up' ? 0 : PAGE_WAIT_MS;
    const from = this.state.nextOffset;
    return {type: 'read', from, limit: PAGE_RECORDS, waitMs};
  }

  /** Handles the result of an append. */
  onAppended(result: Result<Offset, LogError>): void {
    if (result.isOk()) {
      this.finishPart();
      return;
    }
    const {id} = this.request;
    switch (result.error.code) {
      case 'unavailable':
        this.scheduleRetry();
        break;
      case 'outcome-unknown':
        this.scheduleRetry();
        this.phase = 'looking-up';
        break;
      case 'trimmed':
      case 'too-large':
      case 'refused':
        this.outcome = {status: 'refused', id, error: result.error};
    }
  }

  /** Handles the result of a read. */
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
    if (this.phase === 'looking-up' && atEnd) this.onLookedUp();
  }

  private onReadError(error: LogError): void {
    if (error.code === 'trimmed') {
      this.outcome = {status: 'unreadable', id: this.request.id, error};
      return;
    }
    this.scheduleRetry();
  }

  private onVerdict(verdict: Verdict): void {
    if (verdict.status !== 'accepted' && verdict.status !== 'rejected') return;
    if (verdict.id === this.request.id) this.outcome = verdict;
  }

  /** At the end of the log: finishes the part if it is there, else repeats it. */
  private onLookedUp(): void {
    const pending = this.state.pending.find(
      entry => entry.id === this.request.id,
    );
    this.phase = 'appending';
    if (pending && pending.received[this.part] !== null) this.finishPart();
  }

  private finishPart(): void {
    this.part++;
    this.attempt = 0;
    const isComplete = this.part >= this.request.bodies.length;
    this.phase = isComplete ? 'awaiting-verdict' : 'appending';
  }

  private scheduleRetry(): void {
    this.attempt++;
    this.needsBackoff = true;
  }
}
