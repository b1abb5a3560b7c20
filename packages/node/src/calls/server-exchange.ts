/** One HTTP exchange with a backend server. */

import {Readable} from 'node:stream';

import {formatLimits, type ServerOutcome} from '@turmericmill/routing';
import {DeadlineTimer} from '@turmericmill/utils';
import type {FlatHeaders, ServerLoad} from '@turmericmill/wire';
import type {Dispatcher} from 'undici';

import {
  INITIAL_WINDOW_BYTES,
  type CallEvents,
  type CallFailure,
  type CallHead,
  type CallLeg,
  type InitialBody,
} from './call-leg.js';
import {endToEndHeaders, toFlatHeaders, replaceHeaders} from './headers.js';
import {isHttpStatus} from './http-status.js';

/** Time in ms after which an answer without progress is aborted. */
const STALL_TIMEOUT_MS = 30_000;
/** Statuses with which a server reports overload. */
const OVERLOAD_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Callbacks of an exchange. */
export interface ExchangeHooks {
  /** Current time in ms, by the clock of the call's deadline. */
  now(): number;
  /** Current load of the server, to report with an answer or a failure. */
  load(): ServerLoad;
  /** Called once, when the exchange no longer needs its slot. */
  onEnd(outcome: ServerOutcome): void;
}

type Controller = Dispatcher.DispatchController;

/** Sends a request and streams both bodies under flow control. */
export class ServerExchange implements CallLeg {
  private controller: Controller | undefined;
  private requestBody: Readable | undefined;
  private started = false;
  private done = false;
  private status = 0;
  private windowBytes = INITIAL_WINDOW_BYTES;
  private readonly timer = new DeadlineTimer();

  constructor(
    dispatcher: Dispatcher,
    head: CallHead,
    body: InitialBody,
    private readonly events: CallEvents,
    private readonly hooks: ExchangeHooks,
  ) {
    const remainingMs = Math.max(0, head.deadlineMs - hooks.now());
    this.timer.set(remainingMs, () => this.expire());
    dispatcher.dispatch(
      {
        method: head.method as Dispatcher.HttpMethod,
        path: head.path,
        headers: requestHeaders(head, hooks.now()),
        body: this.createBody(body),
      },
      {
        onRequestStart: controller => this.start(controller),
        onResponseStart: (controller, status) => {
          this.answerStart(controller, status);
        },
        onResponseData: (unused, chunk) => this.answerData(chunk),
        onResponseEnd: controller => this.answerEnd(controller),
        onResponseError: (unused, err) => this.fail(err),
      },
    );
  }

  data(chunk: Uint8Array): void {
    this.requestBody?.push(chunk);
  }

  end(unusedTrailers: FlatHeaders): void {
    this.requestBody?.push(null);
  }

  credit(bytes: number): void {
    if (this.status > 0) this.timer.refresh();
    const wasClosed = this.windowBytes <= 0;
    this.windowBytes += bytes;
    if (wasClosed && this.windowBytes > 0) this.controller?.resume();
  }

  cancel(): void {
    if (this.done) return;
    this.finish('cancelled');
    this.abort('call cancelled by the calling side');
  }

  /** Returns a whole body as it is, else a stream that grants credit. */
  private createBody({chunk, end}: InitialBody): Uint8Array | Readable | null {
    if (end) return chunk.length > 0 ? chunk : null;
    let uncreditedBytes = 0;
    const stream = new Readable({
      highWaterMark: INITIAL_WINDOW_BYTES,
      read: () => {
        if (uncreditedBytes > 0) this.events.credit(uncreditedBytes);
        uncreditedBytes = 0;
      },
    });
    const push = stream.push.bind(stream);
    stream.push = (part: Uint8Array | null, ...rest) => {
      if (part) uncreditedBytes += part.length;
      const hasRoom = push(part, ...rest);
      if (hasRoom && uncreditedBytes > 0) {
        this.events.credit(uncreditedBytes);
        uncreditedBytes = 0;
      }
      return hasRoom;
    };
    if (chunk.length > 0) push(chunk);
    this.requestBody = stream;
    return stream;
  }

  private start(controller: Controller): void {
    this.controller = controller;
    this.started = true;
    if (this.done) this.abort('call ended before its request was sent');
    else if (this.requestBody) this.events.credit(0);
  }

  private answerStart(controller: Controller, status: number): void {
    if (this.done) return;
    if (!isHttpStatus(status)) {
      this.fail(new Error(`status ${status} is not of HTTP`));
      this.abort('status is not of HTTP');
      return;
    }
    if (status < 200) return;
    this.status = status;
    this.timer.set(STALL_TIMEOUT_MS, () => this.expire());
    const raw = controller.rawHeaders as Buffer[];
    const headers = endToEndHeaders(toFlatHeaders(raw));
    this.events.answerStart(status, headers, this.hooks.load());
  }

  private answerData(chunk: Buffer): void {
    if (this.done) return;
    this.timer.refresh();
    this.windowBytes -= chunk.length;
    if (this.windowBytes <= 0) this.controller?.pause();
    this.events.answerData(chunk);
  }

  private answerEnd(controller: Controller): void {
    if (this.done) return;
    const overloaded = OVERLOAD_STATUSES.has(this.status);
    this.finish(overloaded ? 'overloaded' : 'answered');
    const raw = (controller.rawTrailers ?? []) as Buffer[];
    this.events.answerEnd(toFlatHeaders(raw));
  }

  /**
   * Reports an error. If the request was not started, no byte of it was sent,
   * so it was not run; otherwise the outcome is unknown.
   */
  private fail(err: Error): void {
    if (this.done) return;
    this.finish('lost');
    const failure: CallFailure = this.started
      ? this.failure('unknown', 'server-failed', err.message)
      : this.failure('not-run', 'server-unreachable', err.message);
    this.events.failed(failure);
  }

  private expire(): void {
    if (this.done) return;
    const outcome = this.started ? 'unknown' : 'not-run';
    this.finish('lost');
    this.abort('deadline passed or answer stalled');
    this.events.failed(this.failure(outcome, 'deadline', 'Deadline passed.'));
  }

  private failure(
    outcome: CallFailure['outcome'],
    reason: CallFailure['reason'],
    detail: string,
  ): CallFailure {
    return {outcome, reason, detail, load: this.hooks.load()};
  }

  private abort(message: string): void {
    this.requestBody?.destroy();
    this.controller?.abort(new Error(message));
  }

  private finish(outcome: ServerOutcome): void {
    this.done = true;
    this.timer.clear();
    this.hooks.onEnd(outcome);
  }
}

/** Headers for the server, with the limits of the call as of `nowMs`. */
function requestHeaders(head: CallHead, nowMs: number): FlatHeaders {
  const limits = {...formatLimits(head, nowMs)};
  return replaceHeaders(endToEndHeaders(head.headers), limits);
}
