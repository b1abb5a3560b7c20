/** One attempt to run a request at one server. */

import {
  deadlinePassed,
  isHttpStatus,
  NO_LOAD,
  type CallEvents,
  type CallFailure,
  type CallLeg,
  type AttemptEnd,
} from '@turmericmill/node';
import {DeadlineTimer, type Clock} from '@turmericmill/utils';
import type {FlatHeaders, ServerLoad} from '@turmericmill/wire';

import type {BufferedAnswer} from './buffered-answer.js';
import {lateAnswerStep} from './late-answer.js';
import type {RoutedRequest} from './routed-request.js';

/** Ends with the answer, a failure, or the disconnection of the caller. */
export class ServerAttempt implements CallEvents {
  /** Called when the server's node has taken bytes of the request's body. */
  onBodyTaken: ((bytes: number) => void) | undefined;
  private leg: CallLeg | undefined;
  private settle: ((end: AttemptEnd) => void) | undefined;
  private readonly timer = new DeadlineTimer();
  private lastFrameMs: number | undefined;
  private load: ServerLoad = NO_LOAD;

  constructor(
    private readonly request: RoutedRequest,
    private readonly answer: BufferedAnswer,
    private readonly clock: Clock,
  ) {
    answer.onBroken = err => this.breakOff(err);
  }

  /** Starts the attempt and resolves when it has ended; called once. */
  run(start: (events: CallEvents) => CallLeg): Promise<AttemptEnd> {
    return new Promise(resolve => {
      this.settle = resolve;
      const leg = start(this);
      // The local node may settle the attempt before `start` returns.
      if (!this.settle) return;
      this.leg = leg;
      const {caller} = this.request;
      const onAbort = () => this.abort({kind: 'left'});
      if (caller.hasDisconnected) {
        onAbort();
        return;
      }
      caller.onAbort = onAbort;
      this.checkProgress(this.clock.now());
    });
  }

  credit(bytes: number): void {
    this.onBodyTaken?.(bytes);
  }

  answerStart(status: number, headers: FlatHeaders, load: ServerLoad): void {
    if (!this.settle) return;
    this.lastFrameMs = this.clock.now();
    this.load = load;
    this.passOn(() => {
      if (!isHttpStatus(status)) throw new Error(`status ${status}`);
      this.answer.start(status, headers);
    });
  }

  answerData(chunk: Uint8Array): void {
    if (!this.settle) return;
    this.lastFrameMs = this.clock.now();
    this.passOn(() => this.answer.data(chunk));
  }

  answerEnd(): void {
    if (!this.settle) return;
    this.passOn(() => this.endAnswer());
  }

  private endAnswer(): void {
    const {answer, load} = this;
    if (answer.end()) {
      this.finish({kind: 'answered', status: answer.status, load});
    } else {
      const detail = 'The length of the answer is not its content-length.';
      const outcome = 'unknown';
      this.failed({outcome, reason: 'server-failed', detail, load});
    }
  }

  failed(failure: CallFailure): void {
    if (!this.settle) return;
    const {answer} = this;
    if (answer.isStreaming) {
      this.request.caller.cut();
      this.finish({kind: 'cut', failure});
    } else if (answer.status > 0) {
      // A server that has begun to answer has executed the request.
      const failureAfterStart: CallFailure = {...failure, outcome: 'unknown'};
      this.finish({kind: 'failed', failure: failureAfterStart});
    } else {
      this.finish({kind: 'failed', failure});
    }
  }

  /** Waits for an incomplete answer, streams it or cancels the attempt. */
  private checkProgress(nowMs: number): void {
    const {answer, lastFrameMs} = this;
    if (answer.isStreaming) return;
    const {deadlineMs} = this.request;
    const step = lateAnswerStep({deadlineMs, lastFrameMs}, nowMs);
    if (step.kind === 'cancel') {
      this.abort({kind: 'failed', failure: deadlinePassed()});
    } else if (step.kind === 'stream') {
      this.passOn(() => answer.stream());
    } else {
      const {untilMs} = step;
      this.timer.set(untilMs - nowMs, () => {
        // Timers may fire a little early.
        this.checkProgress(Math.max(untilMs, this.clock.now()));
      });
    }
  }

  /** Runs a step of the answer; an exception ends this attempt alone. */
  private passOn(step: () => void): void {
    try {
      step();
    } catch (err) {
      this.breakOff(err);
    }
  }

  private breakOff(err: unknown): void {
    if (!this.settle) return;
    const message = err instanceof Error ? err.message : String(err);
    const detail = `The answer could not be passed on: ${message}`;
    this.leg?.cancel();
    const {load} = this;
    this.failed({outcome: 'unknown', reason: 'server-failed', detail, load});
  }

  private abort(end: AttemptEnd): void {
    this.leg?.cancel();
    this.finish(end);
  }

  private finish(end: AttemptEnd): void {
    const {settle} = this;
    this.settle = undefined;
    this.timer.clear();
    this.request.caller.onAbort = undefined;
    this.answer.discard();
    settle?.(end);
  }
}
