/** The caller's side of one call: its HTTP request and response. */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {OUTCOME_HEADER, RETRY_HEADER} from '@turmericmill/routing';
import {DeadlineTimer} from '@turmericmill/utils';
import type {FlatHeaders, KeptAnswer, ServerLoad} from '@turmericmill/wire';

import type {AnswerCopy} from './answer-copy.js';
import type {
  CallEvents,
  CallFailure,
  CallLeg,
  InitialBody,
} from './call-leg.js';
import {endToEndHeaders} from './headers.js';
import {refusalStatus} from './refusal.js';
import {RequestBody} from './request-body.js';
import {deadlinePassed, type AttemptEnd} from './attempt-end.js';

/** Header with the reason why a call was refused or failed. */
export const REASON_HEADER = 'x-turmericmill-reason';
/** Header that marks the kept answer of an earlier call. */
export const REPLAYED_HEADER = 'x-turmericmill-replayed';
/** Number of answer bytes to write before granting the sender as many more. */
const CREDIT_STEP_BYTES = 64 * 1024;

/**
 * Time in ms after the deadline in which the server's node may still report
 * whether the call was run.
 */
const DEADLINE_GRACE_MS = 20;

/** Connects the caller's request and response to one attempt at a time. */
export class CallerExchange {
  private readonly body: RequestBody;
  private leg: CallLeg | undefined;
  private readonly timer = new DeadlineTimer();
  private answered = false;
  private disconnected = false;
  private streaming = false;
  /** True if the initial chunk is not the whole body. */
  private hasRest = false;
  /** True once the server has started to receive the request. */
  private started = false;
  /**
   * If set, receives a copy of the answer. A call whose body was sent in whole
   * then continues without its caller, so that a retry gets the answer.
   */
  copy: AnswerCopy | undefined;

  constructor(
    readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    this.body = new RequestBody(req);
  }

  readInitialBody(): Promise<InitialBody> {
    return this.body.readInitial();
  }

  /** True while no part of the answer was sent and the body can be resent. */
  get canRetry(): boolean {
    return !this.answered && !this.disconnected && !this.streaming;
  }

  /**
   * Runs one attempt and resolves with its end. The attempt is cancelled if its
   * answer has not started `DEADLINE_GRACE_MS` after `timeoutMs`.
   */
  runAttempt(
    initialBody: InitialBody,
    start: (events: CallEvents) => CallLeg,
    timeoutMs: number,
  ): Promise<AttemptEnd> {
    return new Promise(settle => {
      let ended = false;
      const resolve = (end: AttemptEnd) => {
        ended = true;
        this.timer.clear();
        this.res.off('close', onClose);
        settle(end);
      };
      const events = this.createEvents(resolve);
      const onClose = () => {
        if (this.res.writableFinished) return;
        this.disconnected = true;
        if (this.copy && this.leg && !this.hasRest) return;
        this.leg?.cancel();
        resolve({kind: 'left'});
      };
      if (this.res.destroyed) {
        onClose();
        return;
      }
      this.res.once('close', onClose);
      this.hasRest = !initialBody.end;
      this.started = false;
      this.leg = undefined;
      const leg = start(events);
      this.leg = leg;
      if (ended) return;
      this.timer.set(timeoutMs + DEADLINE_GRACE_MS, () => {
        leg.cancel();
        resolve({kind: 'failed', failure: deadlinePassed()});
      });
      this.streamRest();
    });
  }

  /** True if the caller has disconnected, so that no answer can be sent. */
  get isDisconnected(): boolean {
    return this.disconnected || this.res.destroyed;
  }

  /** Sends the kept answer of an earlier call with the same idempotency key. */
  replay({status, headers, body}: KeptAnswer): void {
    if (this.isDisconnected) return;
    const replayed = [...headers, REPLAYED_HEADER, 'true'];
    this.answerStart(status, replayed);
    this.res.end(body);
  }

  /**
   * Streams the rest of the body once the server receives the request. Until
   * then the call can still be sent to another server.
   */
  private streamRest(): void {
    if (!this.hasRest || !this.started || !this.leg || this.streaming) return;
    this.streaming = true;
    this.body.streamTo(this.leg);
  }

  /** Sends an error: the call was refused, or its outcome is unknown. */
  refuse(failure: CallFailure): void {
    if (this.disconnected || this.res.headersSent) return;
    const text = JSON.stringify({
      error: {
        code: failure.reason,
        outcome: failure.outcome,
        message: failure.detail,
      },
    });
    this.res.writeHead(refusalStatus(failure), {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      [OUTCOME_HEADER]: failure.outcome,
      [REASON_HEADER]: failure.reason,
      [RETRY_HEADER]: 'no',
    });
    this.res.end(text);
  }

  private createEvents(resolve: (end: AttemptEnd) => void): CallEvents {
    let status = 0;
    let load: ServerLoad;
    let uncreditedBytes = 0;
    return {
      credit: bytes => {
        this.started = true;
        this.body.credit(bytes);
        this.streamRest();
      },
      answerStart: (code, headers, serverLoad) => {
        status = code;
        load = serverLoad;
        this.copy?.start(code, headers);
        this.answerStart(code, headers);
      },
      answerData: chunk => {
        this.copy?.data(chunk);
        const grantCredit = () => {
          uncreditedBytes += chunk.length;
          if (uncreditedBytes < CREDIT_STEP_BYTES) return;
          this.leg?.credit(uncreditedBytes);
          uncreditedBytes = 0;
        };
        if (this.disconnected) grantCredit();
        else this.res.write(chunk, grantCredit);
      },
      answerEnd: trailers => {
        this.answerEnd(trailers);
        resolve({kind: 'answered', status, load});
      },
      failed: failure => {
        if (!this.answered) {
          resolve({kind: 'failed', failure});
          return;
        }
        // Destroyed, so that the caller cannot mistake the part for the whole.
        this.res.destroy();
        resolve({kind: 'cut', failure});
      },
    };
  }

  private answerStart(status: number, headers: FlatHeaders): void {
    this.answered = true;
    this.timer.clear();
    if (this.disconnected) return;
    this.res.writeHead(status, endToEndHeaders(headers));
  }

  private answerEnd(trailers: FlatHeaders): void {
    if (this.disconnected) return;
    for (let i = 0; i + 1 < trailers.length; i += 2) {
      this.res.addTrailers([
        [trailers[i] as string, trailers[i + 1] as string],
      ]);
    }
    this.res.end();
  }
}
