/** The two sides of one try of a call, whatever lies between them. */

import type {
  CallRequest,
  FailureReason,
  FlatHeaders,
  Outcome,
  ServerLoad,
} from '@turmericmill/wire';

/** Bytes of a body that may be under way before the receiver grants more. */
export const INITIAL_WINDOW_BYTES = 256 * 1024;

/** What a call asks for, and by when. */
export interface CallHead extends CallRequest {
  /** Time in ms since the epoch, by this host's clock. */
  deadlineMs: number;
}

/** Why a try brought no answer, and whether the request may have run. */
export interface CallFailure {
  outcome: Outcome;
  reason: FailureReason;
  detail: string;
  load: ServerLoad;
  /** True if the request was sent to the server, which did not run it. */
  reachedServer?: boolean;
}

/** The load to report when nothing is known. */
export const NO_LOAD: Readonly<ServerLoad> = {inFlight: 0, queued: 0, limit: 0};

/** What the caller's side hears; nothing after `answerEnd` or `failed`. */
export interface CallEvents {
  /**
   * `bytes` more of the request's body may be sent. The first one, which may
   * be of 0 bytes, tells that the server has begun to take the request.
   */
  credit(bytes: number): void;
  answerStart(status: number, headers: FlatHeaders, load: ServerLoad): void;
  answerData(chunk: Uint8Array): void;
  answerEnd(trailers: FlatHeaders): void;
  failed(failure: CallFailure): void;
}

/** The caller's side's hold on a running try. */
export interface CallLeg {
  data(chunk: Uint8Array): void;
  end(trailers: FlatHeaders): void;
  /** `bytes` more of the answer's body may be sent. */
  credit(bytes: number): void;
  /** Ends the try; no event follows. */
  cancel(): void;
}

/** The leg of a try that has ended before it began. */
export const ENDED_LEG: CallLeg = {
  data: () => undefined,
  end: () => undefined,
  credit: () => undefined,
  cancel: () => undefined,
};

/** The body as far as it is known when a call starts. */
export interface InitialBody {
  chunk: Uint8Array;
  /** True when the chunk is the whole body. */
  end: boolean;
}

/** Runs calls on backend servers. */
export abstract class CallRunner {
  abstract run(head: CallHead, body: InitialBody, events: CallEvents): CallLeg;
}
