/** One try of a request at one server. */

import {
  deadlinePassed,
  NO_LOAD,
  type CallEvents,
  type CallFailure,
  type CallLeg,
  type TryEnd,
} from '@turmericmill/node';
import {DeadlineTimer, type Clock} from '@turmericmill/utils';
import type {FlatHeaders, ServerLoad} from '@turmericmill/wire';

import type {HeldAnswer} from './held-answer.js';
import {lateStep} from './late-answer.js';
import type {RoutedRequest} from './routed-request.js';

/** Ends with the answer, a failure, or the caller's leave. */
export class ServerTry implements CallEvents {
  private leg: CallLeg | undefined;
  private settle: ((end: TryEnd) => void) | undefined;
  private readonly timer = new DeadlineTimer();
  private lastFrameMs: number | undefined;
  private load: ServerLoad = NO_LOAD;

  constructor(
    private readonly request: RoutedRequest,
    private readonly answer: HeldAnswer,
    private readonly clock: Clock,
  ) {}

  /** Resolves when the try has ended; called once. */
  run(start: (events: CallEvents) => CallLeg): Promise<TryEnd> {
    return new Promise(resolve => {
      this.settle = resolve;
      const leg = start(this);
      // The local node may settle the try before `start` returns.
      if (!this.settle) return;
      this.leg = leg;
      const {caller} = this.request;
      const leave = () => this.abort({kind: 'left'});
      if (caller.hasLeft) {
        leave();
        return;
      }
      caller.onLeft = leave;
      this.look(this.clock.now());
    });
  }

  credit(): void {
    return;
  }

  answerStart(status: number, headers: FlatHeaders, load: ServerLoad): void {
    if (!this.settle) return;
    this.lastFrameMs = this.clock.now();
    this.load = load;
    this.answer.start(status, headers);
  }

  answerData(chunk: Uint8Array): void {
    if (!this.settle) return;
    this.lastFrameMs = this.clock.now();
    this.answer.data(chunk);
  }

  answerEnd(): void {
    if (!this.settle) return;
    const {answer, load} = this;
    if (answer.end()) {
      this.finish({kind: 'answered', status: answer.status, load});
    } else {
      const detail = 'The answer has another length than it states.';
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
      // Whoever answers has run the request.
      const ran: CallFailure = {...failure, outcome: 'unknown'};
      this.finish({kind: 'failed', failure: ran});
    } else {
      this.finish({kind: 'failed', failure});
    }
  }

  /** Decides on an answer that is not whole, and when to look again. */
  private look(nowMs: number): void {
    const {answer, lastFrameMs} = this;
    if (answer.isStreaming) return;
    const {deadlineMs} = this.request;
    const step = lateStep({deadlineMs, lastFrameMs}, nowMs);
    if (step.kind === 'give-up') {
      this.abort({kind: 'failed', failure: deadlinePassed()});
    } else if (step.kind === 'stream') {
      answer.stream();
    } else {
      const {untilMs} = step;
      this.timer.set(untilMs - nowMs, () => {
        // Timers may fire a little early.
        this.look(Math.max(untilMs, this.clock.now()));
      });
    }
  }

  private abort(end: TryEnd): void {
    this.leg?.cancel();
    this.finish(end);
  }

  private finish(end: TryEnd): void {
    const {settle} = this;
    this.settle = undefined;
    this.timer.clear();
    this.request.caller.onLeft = undefined;
    this.answer.drop();
    settle?.(end);
  }
}
