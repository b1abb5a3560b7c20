/** A caller's request: reads its body and writes its answer. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {endToEndHeaders} from '@turmericmill/node';
import {REQUEST_ID_HEADER} from '@turmericmill/platform-adapter';
import type {Clock} from '@turmericmill/utils';
import type {FlatHeaders} from '@turmericmill/wire';

import type {CallerOutput} from '../memory/caller-output.js';
import type {BodyBudget} from './body-budget.js';
import {BodyCollector} from './body-collector.js';

const MS_PER_S = 1000;
/**
 * Bytes and time in ms of a body that is discarded so that its connection can
 * be used again. Beyond these, closing the connection costs less.
 */
const MAX_DISCARDED_BYTES = 256 * 1024;
const MAX_DISCARD_MS = 250;
const UNAUTHORIZED_STATUS = 401;

/** An answer that the node itself generates. */
export interface LocalAnswer {
  status: number;
  /** Short reason for the caller's log, sent in the body. */
  reason: string;
  /** Time in ms after which the caller may retry. */
  retryAfterMs?: number;
}

/** Which side closed a caller's connection. */
export type ClosedBy = 'peer' | 'node';

/** An answer that had ended but was not fully written to its connection. */
export interface UndeliveredAnswer {
  /** Bytes of the answer's body. */
  bytes: number;
  /** Time in ms from the end of the answer to the close of the connection. */
  sinceEndMs: number;
  closedBy: ClosedBy;
  /** Code of the error that closed the connection, such as `ECONNRESET`. */
  code: string | undefined;
}

export class CallerRequest {
  /**
   * Called when the caller disconnects before the answer is complete, or the
   * node cancels the running attempt.
   */
  onAbort: (() => void) | undefined;
  /** Called once the response is closed, with the answer if undelivered. */
  onClosed: ((undelivered: UndeliveredAnswer | undefined) => void) | undefined;
  private disconnected = false;
  /** Bytes of the request's body that are reserved in the budget. */
  private requestBodyBytes = 0;
  private cancelled = false;
  /** The peer has closed its side of the connection. */
  private peerEnded = false;
  private closed = false;
  /** The whole answer has been written to the socket. */
  private flushed = false;
  private answerBytes = 0;
  private endedMs: number | undefined;
  /** Kept, as `req` drops its socket if its body is not read to the end. */
  readonly socket: Socket;

  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    private readonly clock: Clock,
    private readonly output?: CallerOutput,
  ) {
    // The end of the connection is read some turns of the event loop before
    // the response closes; these may take a second on a node short of CPU time.
    const {socket} = req;
    this.socket = socket;
    const onPeerEnd = () => {
      this.peerEnded = true;
      this.markDisconnected();
    };
    socket.once('end', onPeerEnd);
    // A response also finishes when a destroyed socket discards its buffer.
    res.prependOnceListener('finish', () => {
      this.flushed = !socket.destroyed;
    });
    const onClose = () => {
      if (this.closed) return;
      socket.off('end', onPeerEnd);
      socket.off('close', onClose);
      this.closed = true;
      if (!this.flushed) this.markDisconnected();
      this.onClosed?.(this.flushed ? undefined : this.undelivered());
    };
    res.once('close', onClose);
    // A pipelined response that waits behind another one emits no 'close'.
    socket.once('close', onClose);
  }

  /** Which side closed the connection, once it is closed. */
  get closedBy(): ClosedBy {
    return this.peerEnded || this.socket.errored ? 'peer' : 'node';
  }

  /** Bytes of the answer's body written to the connection so far. */
  get bytesWritten(): number {
    return this.answerBytes;
  }

  /** True while bytes of an ended answer are buffered in the process. */
  get isFlushing(): boolean {
    return this.res.writableEnded && !this.flushed && !this.closed;
  }

  private undelivered(): UndeliveredAnswer | undefined {
    if (this.endedMs === undefined) return undefined;
    const {answerBytes: bytes, closedBy} = this;
    const sinceEndMs = this.clock.now() - this.endedMs;
    const error = this.socket.errored as NodeJS.ErrnoException | null;
    return {bytes, sinceEndMs, closedBy, code: error?.code};
  }

  private markDisconnected(): void {
    if (this.disconnected) return;
    this.disconnected = true;
    this.onAbort?.();
  }

  /** True once the caller has disconnected. */
  get hasDisconnected(): boolean {
    return this.disconnected;
  }

  /** True if the node has cancelled the running attempt. */
  get isCancelled(): boolean {
    return this.cancelled;
  }

  /** Cancels the running attempt, unless the answer has begun. */
  cancelAttempt(): void {
    if (this.disconnected || this.res.headersSent) return;
    this.cancelled = true;
    this.onAbort?.();
  }

  /**
   * Reads the whole body. Resolves with `too-large` if it exceeds `maxBytes`,
   * and with `no-room` if it exceeds the budget: such a body is read to its end
   * and discarded, so that its caller can be answered.
   */
  async readBody(
    maxBytes: number,
    budget: BodyBudget,
  ): Promise<Buffer | 'too-large' | 'no-room'> {
    const stated = Number(this.req.headers['content-length'] ?? NaN);
    let collector: BodyCollector | undefined = new BodyCollector(stated);
    let bytes = 0;
    for await (const chunk of this.req) {
      const wasBytes = bytes;
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) return 'too-large';
      if (collector && budget.grow(wasBytes, bytes)) {
        this.requestBodyBytes = bytes;
        collector.add(chunk as Buffer);
      } else {
        collector = undefined;
        this.releaseBody(budget);
      }
    }
    return collector ? collector.finish() : 'no-room';
  }

  /**
   * Reads and discards the body of a request that is refused. Resolves at its
   * end, or early if the body is long or slow: its connection has to close.
   */
  discardBody(): Promise<void> {
    const {req} = this;
    return new Promise(resolve => {
      let bytes = 0;
      const finish = () => {
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(finish, MAX_DISCARD_MS);
      req.once('end', finish);
      req.once('close', finish);
      req.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > MAX_DISCARDED_BYTES) finish();
      });
    });
  }

  /** Releases what the body has reserved; it is not needed any more. */
  releaseBody(budget: BodyBudget): void {
    budget.release(this.requestBodyBytes);
    this.requestBodyBytes = 0;
  }

  start(status: number, headers: FlatHeaders): void {
    if (!this.disconnected) {
      this.res.writeHead(status, endToEndHeaders(headers));
    }
  }

  data(chunk: Uint8Array): void {
    if (this.disconnected) return;
    const {length} = chunk;
    this.answerBytes += length;
    this.output?.written(this.socket, length);
    this.res.write(chunk, () => this.output?.taken(this.socket, length));
  }

  end(): void {
    if (this.disconnected) return;
    this.endedMs = this.clock.now();
    this.res.end();
  }

  /** Closes the connection: a partial answer must not pass for a whole one. */
  cut(): void {
    // Without chunked encoding, an orderly close may mark the end of a body.
    if (this.req.httpVersion === '1.0') this.socket.resetAndDestroy();
    this.res.destroy();
  }

  /** Sends an answer that the node itself generates. */
  sendLocalAnswer({status, reason, retryAfterMs}: LocalAnswer): void {
    if (this.disconnected || this.res.headersSent) return;
    const body = JSON.stringify({error: reason});
    const headers: Record<string, string | number> = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const requestId = this.req.headers[REQUEST_ID_HEADER];
    if (typeof requestId === 'string') headers[REQUEST_ID_HEADER] = requestId;
    if (status === UNAUTHORIZED_STATUS) headers['www-authenticate'] = 'Bearer';
    if (retryAfterMs !== undefined) {
      headers['retry-after'] = (retryAfterMs / MS_PER_S).toFixed(3);
    }
    if (!this.req.complete) headers['connection'] = 'close';
    this.res.writeHead(status, headers);
    this.answerBytes = Buffer.byteLength(body);
    this.endedMs = this.clock.now();
    this.res.end(body);
  }
}
