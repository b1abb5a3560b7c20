/** Passes the body of a request on to its server's node as it takes it. */

import type {CallLeg, InitialBody} from '@turmericmill/node';

import {MAX_BODY_FRAME_BYTES} from '../server/server-call.js';

/**
 * Bytes that may be on their way. Frames are copies of the body: a window keeps
 * those of a body of 64 MiB from existing all at once.
 */
const WINDOW_BYTES = 4 * 1024 * 1024;

export class BodySender {
  private leg: CallLeg | undefined;
  private offset: number;
  private unconfirmedBytes = 0;
  private isSending = false;

  constructor(private readonly body: Uint8Array) {
    this.offset = Math.min(body.length, MAX_BODY_FRAME_BYTES);
  }

  /** Starts the call with the first part of the body. */
  start(run: (first: InitialBody) => CallLeg): CallLeg {
    const {body, offset} = this;
    const chunk = body.subarray(0, offset);
    const leg = run({chunk, end: offset === body.length});
    this.leg = leg;
    this.send();
    return leg;
  }

  /** The receiver has taken `bytes`; the first part is not confirmed. */
  confirm(bytes: number): void {
    this.unconfirmedBytes = Math.max(0, this.unconfirmedBytes - bytes);
    this.send();
  }

  private send(): void {
    const {leg, body} = this;
    // A call on this host confirms each part before `data` returns.
    if (!leg || this.isSending) return;
    this.isSending = true;
    while (this.offset < body.length && this.unconfirmedBytes < WINDOW_BYTES) {
      const end = Math.min(body.length, this.offset + MAX_BODY_FRAME_BYTES);
      const part = body.subarray(this.offset, end);
      this.offset = end;
      this.unconfirmedBytes += part.length;
      leg.data(part);
      if (end === body.length) leg.end([]);
    }
    this.isSending = false;
  }
}
