/**
 * Interfaces between the calling and the serving side of one attempt of a call,
 * independent of the transport between them.
 */

import type {
  CallRequest,
  FailureReason,
  FlatHeaders,
  Outcome,
  ServerLoad,
} from '@turmericmill/wire';

/** Body bytes that may be in flight before the receiver grants more. */
export const INITIAL_WINDOW_BYTES = 256 * 1024;

/** A call without its body, and its deadline. */
export interface CallHead extends CallRequest {
  /** Deadline in ms since the epoch, by this host's clock. */
  deadlineMs: number;
  /** True if the answer leaves this host over its link. */
  crossesLink?: boolean;
}

/** Why an attempt got no answer, and whether the request may have run. */
export interface CallFailure {
  outcome: Outcome;
  reason: FailureReason;
  detail: string;
  load: ServerLoad;
  /** True if the request was sent to the server, which did not run it. */
  reachedServer?: boolean;
}

/** Load to report if the server's load is unknown. */
export const NO_LOAD: Readonly<ServerLoad> = {inFlight: 0, queued: 0, limit: 0};

/** Events for the calling side; none follows `answerEnd` or `failed`. */
export interface CallEvents {
  /**
   * `bytes` more of the request's body may be sent. The first credit, which may
   * be 0 bytes, indicates that the server has started to receive the request.
   */
  credit(bytes: number): void;
  answerStart(status: number, headers: FlatHeaders, load: ServerLoad): void;
  answerData(chunk: Uint8Array): void;
  answerEnd(trailers: FlatHeaders): void;
  failed(failure: CallFailure): void;
}

/** Handle by which the calling side controls a running attempt. */
export interface CallLeg {
  data(chunk: Uint8Array): void;
  end(trailers: FlatHeaders): void;
  /** `bytes` more of the answer's body may be sent. */
  credit(bytes: number): void;
  /** Cancels the attempt; no event follows. */
  cancel(): void;
}

/** Leg of an attempt that ended before it started; ignores all input. */
export const ENDED_LEG: CallLeg = {
  data: () => undefined,
  end: () => undefined,
  credit: () => undefined,
  cancel: () => undefined,
};

/** The part of the body that is available when a call starts. */
export interface InitialBody {
  chunk: Uint8Array;
  /** True if the chunk is the whole body. */
  end: boolean;
}

/** Runs calls on backend servers. */
export abstract class CallRunner {
  abstract run(head: CallHead, body: InitialBody, events: CallEvents): CallLeg;
}
