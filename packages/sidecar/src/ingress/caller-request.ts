/** One request of a caller: its body in, one answer out. */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {endToEndHeaders} from '@turmericmill/node';
import {REQUEST_ID_HEADER} from '@turmericmill/platform-adapter';
import type {FlatHeaders} from '@turmericmill/wire';

const MS_PER_S = 1000;

/** How an answer of the node itself reads. */
export interface OwnAnswer {
  status: number;
  /** Why, in a word; for the caller's log. */
  reason: string;
  /** Time in ms after which the caller may come back. */
  returnAfterMs?: number;
}

export class CallerRequest {
  /** Called when the caller leaves before the answer is complete. */
  onLeft: (() => void) | undefined;
  private left = false;

  constructor(
    readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    // The end of the connection is read some turns of the event loop before
    // the response closes; on a starved node these may last a second.
    const {socket} = req;
    const leave = () => this.leave();
    socket.once('end', leave);
    res.once('close', () => {
      socket.off('end', leave);
      if (!res.writableFinished) this.leave();
    });
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

  /** The whole body; undefined if it is longer than `maxBytes`. */
  async readBody(maxBytes: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of this.req) {
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) return undefined;
      chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
  }

  start(status: number, headers: FlatHeaders): void {
    if (!this.left) this.res.writeHead(status, endToEndHeaders(headers));
  }

  data(chunk: Uint8Array): void {
    if (!this.left) this.res.write(chunk);
  }

  end(): void {
    if (!this.left) this.res.end();
  }

  /** Ends the connection: part of an answer must not pass for the whole. */
  cut(): void {
    const {httpVersion, socket} = this.req;
    // Without chunks, a body may end where its connection ends in order.
    if (httpVersion === '1.0') socket.resetAndDestroy();
    this.res.destroy();
  }

  /** Answers on behalf of the node. */
  refuse({status, reason, returnAfterMs}: OwnAnswer): void {
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
    this.res.end(body);
  }
}
