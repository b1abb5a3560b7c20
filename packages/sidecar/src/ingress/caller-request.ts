/** One request of a caller: its body in, one answer out. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {endToEndHeaders} from '@turmericmill/node';
import {REQUEST_ID_HEADER} from '@turmericmill/platform-adapter';
import type {Clock} from '@turmericmill/utils';
import type {FlatHeaders} from '@turmericmill/wire';

import type {BodyBudget} from './body-budget.js';

const MS_PER_S = 1000;

/** How an answer of the node itself reads. */
export interface LocalAnswer {
  status: number;
  /** Why, in a word; for the caller's log. */
  reason: string;
  /** Time in ms after which the caller may come back. */
  returnAfterMs?: number;
}

/** Which side closed a caller's connection. */
export type ClosedBy = 'peer' | 'node';

/** An answer that had ended and did not leave the process as a whole. */
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
  /** Called when the caller leaves before the answer is complete. */
  onLeft: (() => void) | undefined;
  /** Called once the response is closed, with what was not delivered of it. */
  onClosed: ((undelivered: UndeliveredAnswer | undefined) => void) | undefined;
  private left = false;
  /** Bytes of the request's body for which room was taken. */
  private bodyBytes = 0;
  private givenUp = false;
  /** The peer has closed its side, or the connection has failed. */
  private peerEnded = false;
  private closed = false;
  /** The whole answer has been written to the socket. */
  private flushed = false;
  private bytes = 0;
  private endedMs: number | undefined;
  /** A request whose body is not read to its end loses its own reference. */
  private readonly socket: Socket;

  constructor(
    readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly clock: Clock,
  ) {
    // The end of the connection is read some turns of the event loop before
    // the response closes; on a starved node these may last a second.
    const {socket} = req;
    this.socket = socket;
    const endOfPeer = () => {
      this.peerEnded = true;
      this.leave();
    };
    socket.once('end', endOfPeer);
    // A destroyed socket drops what it holds, and the response finishes too.
    res.prependOnceListener('finish', () => {
      this.flushed = !socket.destroyed;
    });
    const close = () => {
      if (this.closed) return;
      socket.off('end', endOfPeer);
      socket.off('close', close);
      this.closed = true;
      if (!this.flushed) this.leave();
      this.onClosed?.(this.flushed ? undefined : this.undelivered());
    };
    res.once('close', close);
    // A response that waits behind another one does not tell of it.
    socket.once('close', close);
  }

  /** Which side closed the connection, once it is closed. */
  get closedBy(): ClosedBy {
    return this.peerEnded || this.socket.errored ? 'peer' : 'node';
  }

  /** Bytes of the answer's body given to the connection so far. */
  get bytesPassedOn(): number {
    return this.bytes;
  }

  /** True while bytes of an answer that has ended wait in the process. */
  get isFlushing(): boolean {
    return this.res.writableEnded && !this.flushed && !this.closed;
  }

  private undelivered(): UndeliveredAnswer | undefined {
    if (this.endedMs === undefined) return undefined;
    const {bytes, closedBy} = this;
    const sinceEndMs = this.clock.now() - this.endedMs;
    const error = this.socket.errored as NodeJS.ErrnoException | null;
    return {bytes, sinceEndMs, closedBy, code: error?.code};
  }

  private leave(): void {
    if (this.left) return;
    this.left = true;
    this.onLeft?.();
  }

  /** True once the caller is gone. */
  get hasLeft(): boolean {
    return this.left;
  }

  /** True if the node has ended the try that ran. */
  get isGivenUp(): boolean {
    return this.givenUp;
  }

  /** Ends the try that runs, unless its answer has begun. */
  giveUp(): void {
    if (this.left || this.res.headersSent) return;
    this.givenUp = true;
    this.onLeft?.();
  }

  /**
   * The whole body, or what forbids it: a limit or the node's memory. A body
   * without room is read to its end and dropped, so that its caller can be told.
   */
  async readBody(
    maxBytes: number,
    budget: BodyBudget,
  ): Promise<Buffer | 'too-large' | 'no-room'> {
    let chunks: Buffer[] | undefined = [];
    let bytes = 0;
    for await (const chunk of this.req) {
      const wasBytes = bytes;
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) return 'too-large';
      if (chunks && budget.grow(wasBytes, bytes)) {
        this.bodyBytes = bytes;
        chunks.push(chunk as Buffer);
      } else {
        chunks = undefined;
        this.releaseBody(budget);
      }
    }
    return chunks ? Buffer.concat(chunks) : 'no-room';
  }

  /** The body is not needed any more. */
  releaseBody(budget: BodyBudget): void {
    budget.release(this.bodyBytes);
    this.bodyBytes = 0;
  }

  start(status: number, headers: FlatHeaders): void {
    if (!this.left) this.res.writeHead(status, endToEndHeaders(headers));
  }

  data(chunk: Uint8Array): void {
    if (this.left) return;
    this.bytes += chunk.length;
    this.res.write(chunk);
  }

  end(): void {
    if (this.left) return;
    this.endedMs = this.clock.now();
    this.res.end();
  }

  /** Ends the connection: part of an answer must not pass for the whole. */
  cut(): void {
    // Without chunks, a body may end where its connection ends in order.
    if (this.req.httpVersion === '1.0') this.socket.resetAndDestroy();
    this.res.destroy();
  }

  /** Answers on behalf of the node. */
  refuse({status, reason, returnAfterMs}: LocalAnswer): void {
    if (this.left || this.res.headersSent) return;
    const body = JSON.stringify({error: reason});
    const headers: Record<string, string | number> = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const requestId = this.req.headers[REQUEST_ID_HEADER];
    if (typeof requestId === 'string') headers[REQUEST_ID_HEADER] = requestId;
    if (returnAfterMs !== undefined) {
      headers['retry-after'] = (returnAfterMs / MS_PER_S).toFixed(3);
    }
    if (!this.req.complete) headers['connection'] = 'close';
    this.res.writeHead(status, headers);
    this.bytes = Buffer.byteLength(body);
    this.endedMs = this.clock.now();
    this.res.end(body);
  }
}
