/** HTTP server that closes idle connections without losing answers. */

import {
  Server,
  type IncomingMessage,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

interface ConnectionState {
  /** Responses that are not fully sent and whose callers are connected. */
  responses: Set<ServerResponse>;
  /** Bytes read from the connection until its last response was closed. */
  readBytes: number;
}

/**
 * Overrides `closeIdleConnections`, which `close` also calls. The method of
 * Node.js treats a connection as idle once its response has ended, and drops
 * the part of the response that is not sent yet.
 */
export class CallerServer extends Server {
  private readonly states = new Map<Socket, ConnectionState>();
  private draining = false;

  constructor(
    options: ServerOptions,
    listener?: (req: IncomingMessage, res: ServerResponse) => void,
  ) {
    super(options);
    this.on('connection', (socket: Socket) => {
      this.states.set(socket, {responses: new Set(), readBytes: 0});
      socket.once('close', () => this.states.delete(socket));
    });
    this.on('request', (req, res) => this.recordRequest(req, res));
    if (listener) this.on('request', listener);
  }

  /** Number of responses not fully sent whose callers are connected. */
  get openResponses(): number {
    let sum = 0;
    for (const {responses} of this.states.values()) sum += responses.size;
    return sum;
  }

  /** Records a request. To be called for requests without a `request` event. */
  recordRequest({socket}: IncomingMessage, res: ServerResponse): void {
    const state = this.states.get(socket);
    if (!state) return;
    if (this.draining) res.shouldKeepAlive = false;
    state.responses.add(res);
    res.once('close', () => {
      state.responses.delete(res);
      state.readBytes = socket.bytesRead;
    });
  }

  /** From now on each answer that has not started closes its connection. */
  drain(): void {
    this.draining = true;
    for (const {responses} of this.states.values()) {
      for (const res of responses) {
        if (!res.headersSent) res.shouldKeepAlive = false;
      }
    }
  }

  /** Closes used connections with no unsent answer and no partial request. */
  override closeIdleConnections(): void {
    for (const [socket, {responses, readBytes}] of this.states) {
      const isUsed = readBytes > 0;
      const isIdle = responses.size === 0 && socket.bytesRead === readBytes;
      if (isUsed && isIdle) socket.destroy();
    }
  }
}
