/** One call as its caller sees it: request in, answer or refusal out. */

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

/** Header that tells why a call was refused. */
export const REASON_HEADER = 'x-turmericmill-reason';
/** Header that marks the kept answer of an earlier try. */
export const REPLAYED_HEADER = 'x-turmericmill-replayed';
/** Bytes of an answer that are written before more are granted. */
const CREDIT_STEP_BYTES = 64 * 1024;

/**
 * Time in ms after the deadline in which the server's node may still tell
 * whether the call was run.
 */
const DEADLINE_GRACE_MS = 20;

/** Joins the caller's request and response to one try after the other. */
export class CallerExchange {
  private readonly body: RequestBody;
  private leg: CallLeg | undefined;
  private readonly timer = new DeadlineTimer();
  private answered = false;
  private left = false;
  private streaming = false;
  /** True if the body is more than its beginning. */
  private streams = false;
  /** True once the server has begun to take the request. */
  private begun = false;
  /**
   * When set, receives a copy of the answer. A call whose request is sent then
   * goes on when its caller leaves, so that a later try finds the answer.
   */
  copy: AnswerCopy | undefined;

  constructor(
    readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    this.body = new RequestBody(req);
  }

  firstBody(): Promise<InitialBody> {
    return this.body.first();
  }

  /** True while nothing of the answer went out and the body can be resent. */
  get canRetry(): boolean {
    return !this.answered && !this.left && !this.streaming;
  }

  /**
   * Runs one try; resolves when it has ended. The answer has to start within
   * `timeoutMs`.
   */
  runTry(
    first: InitialBody,
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
      const events = this.eventsOf(resolve);
      const onClose = () => {
        if (this.res.writableFinished) return;
        this.left = true;
        if (this.copy && this.leg && !this.streams) return;
        this.leg?.cancel();
        resolve({kind: 'left'});
      };
      if (this.res.destroyed) {
        onClose();
        return;
      }
      this.res.once('close', onClose);
      this.streams = !first.end;
      this.begun = false;
      this.leg = undefined;
      const leg = start(events);
      this.leg = leg;
      if (ended) return;
      this.timer.set(timeoutMs + DEADLINE_GRACE_MS, () => {
        leg.cancel();
        resolve({kind: 'failed', failure: deadlinePassed()});
      });
      this.stream();
    });
  }

  /** True when the caller is gone; nothing can be answered any more. */
  get hasLeft(): boolean {
    return this.left || this.res.destroyed;
  }

  /** Answers with the kept answer of an earlier try. */
  replay({status, headers, body}: KeptAnswer): void {
    if (this.hasLeft) return;
    const replayed = [...headers, REPLAYED_HEADER, 'true'];
    this.answerStart(status, replayed);
    this.res.end(body);
  }

  /**
   * Streams the rest of the body once the server takes it: until then the call
   * can be sent to another one.
   */
  private stream(): void {
    if (!this.streams || !this.begun || !this.leg || this.streaming) return;
    this.streaming = true;
    this.body.streamTo(this.leg);
  }

  /** Answers the caller that the call was refused or its outcome is open. */
  refuse(failure: CallFailure): void {
    if (this.left || this.res.headersSent) return;
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

  private eventsOf(resolve: (end: AttemptEnd) => void): CallEvents {
    let status = 0;
    let load: ServerLoad;
    let uncredited = 0;
    return {
      credit: bytes => {
        this.begun = true;
        this.body.credit(bytes);
        this.stream();
      },
      answerStart: (code, headers, serverLoad) => {
        status = code;
        load = serverLoad;
        this.copy?.start(code, headers);
        this.answerStart(code, headers);
      },
      answerData: chunk => {
        this.copy?.data(chunk);
        const written = () => {
          uncredited += chunk.length;
          if (uncredited < CREDIT_STEP_BYTES) return;
          this.leg?.credit(uncredited);
          uncredited = 0;
        };
        if (this.left) written();
        else this.res.write(chunk, written);
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
        // A caller must not take part of an answer for the whole.
        this.res.destroy();
        resolve({kind: 'cut', failure});
      },
    };
  }

  private answerStart(status: number, headers: FlatHeaders): void {
    this.answered = true;
    this.timer.clear();
    if (this.left) return;
    this.res.writeHead(status, endToEndHeaders(headers));
  }

  private answerEnd(trailers: FlatHeaders): void {
    if (this.left) return;
    for (let i = 0; i + 1 < trailers.length; i += 2) {
      this.res.addTrailers([
        [trailers[i] as string, trailers[i + 1] as string],
      ]);
    }
    this.res.end();
  }
}
