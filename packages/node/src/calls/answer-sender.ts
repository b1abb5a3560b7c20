/** Sends the answer of a call to the node that sent the call. */

import type {
  FlatHeaders,
  MessageName,
  MessageOf,
  ServerLoad,
} from '@turmericmill/wire';

import type {Bus, Peer} from '../bus.js';
import {NO_LOAD, type CallEvents, type CallFailure} from './call-leg.js';
import {AnswerQueue, type PeerOutbox} from './peer-outbox.js';

/** Maximum size in bytes of an answer body sent in one frame with the head. */
const MAX_INLINE_BODY_BYTES = 64 * 1024;

/**
 * Sends the events of one call to the node that sent the call. Buffers the
 * answer for one turn of the event loop, so that a short one takes one frame.
 */
export class AnswerSender implements CallEvents {
  /** The answer's head until it is sent. */
  private head: {
    status: number;
    headers: FlatHeaders;
    load: ServerLoad;
  } | null = null;
  private buffered: Uint8Array[] = [];
  private bufferedBytes = 0;
  private readonly queue: AnswerQueue | undefined;
  /** True once the answer has ended, been given up or been cancelled. */
  private ended = false;

  /**
   * `onEnd`: called once the last frame has been sent. Without `outbox`, frames
   * do not wait for room in the connection.
   */
  constructor(
    private readonly bus: Bus,
    private readonly peer: Peer,
    private readonly callId: number,
    private readonly onEnd: () => void,
    private readonly outbox: PeerOutbox | undefined,
  ) {
    this.queue = outbox && new AnswerQueue(peer, outbox, () => this.discard());
  }

  /** Sends nothing more: the call was cancelled, or its connection is lost. */
  cancel(): void {
    this.ended = true;
    this.head = null;
    if (this.queue) this.outbox?.drop(this.queue);
  }

  credit(bytes: number): void {
    this.send({type: 'callWindow', body: {callId: this.callId, bytes}});
  }

  answerStart(status: number, headers: FlatHeaders, load: ServerLoad): void {
    if (this.ended) return;
    this.head = {status, headers, load};
    setImmediate(() => this.flush(false));
  }

  answerData(chunk: Uint8Array): void {
    if (this.ended) return;
    if (!this.head) {
      this.sendData(chunk, false, []);
      return;
    }
    this.buffered.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > MAX_INLINE_BODY_BYTES) this.flush(false);
  }

  answerEnd(trailers: FlatHeaders): void {
    if (this.ended) return;
    if (this.head && trailers.length === 0) {
      this.flush(true);
      return;
    }
    this.flush(false);
    this.sendData(new Uint8Array(), true, trailers);
  }

  failed(failure: CallFailure): void {
    if (this.ended) return;
    this.cancel();
    this.onEnd();
    this.send({
      type: 'answerFailed',
      body: {callId: this.callId, ...failure},
    });
  }

  private flush(end: boolean): void {
    const {head, callId} = this;
    if (!head) return;
    const body =
      this.buffered.length === 1
        ? (this.buffered[0] as Uint8Array)
        : Buffer.concat(this.buffered);
    this.head = null;
    this.buffered = [];
    const start = {callId, ...head, end, body};
    this.sendFrame({type: 'answerStart', body: start}, body.length, end);
  }

  private sendData(
    chunk: Uint8Array,
    end: boolean,
    trailers: FlatHeaders,
  ): void {
    const {callId} = this;
    const body = {callId, chunk, end, trailers};
    this.sendFrame({type: 'answerData', body}, chunk.length, end);
  }

  private sendFrame(
    message: MessageOf<'answerStart'> | MessageOf<'answerData'>,
    bytes: number,
    end: boolean,
  ): void {
    if (end) this.ended = true;
    const onSent = end ? this.onEnd : undefined;
    if (this.outbox && this.queue) {
      this.outbox.send(this.queue, message, bytes, onSent);
      return;
    }
    onSent?.();
    this.send(message);
  }

  /** The server has answered, but the answer does not reach the caller. */
  private discard(): void {
    this.ended = false;
    this.failed({
      outcome: 'unknown',
      reason: 'server-failed',
      detail:
        'answer discarded: the node that asked reads slowly, and answers exceed their memory budget',
      load: {...NO_LOAD},
    });
  }

  /** Not sent to a later incarnation, where the id denotes another call. */
  private send<K extends MessageName>(message: MessageOf<K>): void {
    this.bus.publish('send-peer', {
      nodeId: this.peer.nodeId,
      incarnation: this.peer.incarnation,
      message: message as never,
    });
  }
}
