/** An HTTP server whose idle connections can be closed without losses. */

import {
  Server,
  type IncomingMessage,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

interface ConnectionUse {
  /** Those that have not left, and whose callers are still there. */
  responses: Set<ServerResponse>;
  /** Bytes read when the last response had left. */
  readBytes: number;
}

/**
 * The platform's `closeIdleConnections`, which `close` calls as well, takes a
 * connection for idle once its response was ended, and drops what is unsent.
 */
export class CallerServer extends Server {
  private readonly uses = new Map<Socket, ConnectionUse>();
  private draining = false;

  constructor(
    options: ServerOptions,
    listener?: (req: IncomingMessage, res: ServerResponse) => void,
  ) {
    super(options);
    this.on('connection', (socket: Socket) => {
      this.uses.set(socket, {responses: new Set(), readBytes: 0});
      socket.once('close', () => this.uses.delete(socket));
    });
    this.on('request', (req, res) => this.recordRequest(req, res));
    if (listener) this.on('request', listener);
  }

  /** Responses that have not left, and whose callers are still there. */
  get openResponses(): number {
    let sum = 0;
    for (const {responses} of this.uses.values()) sum += responses.size;
    return sum;
  }

  /** Notes a request; to be called for those that no `request` event tells. */
  recordRequest({socket}: IncomingMessage, res: ServerResponse): void {
    const use = this.uses.get(socket);
    if (!use) return;
    if (this.draining) res.shouldKeepAlive = false;
    use.responses.add(res);
    res.once('close', () => {
      use.responses.delete(res);
      use.readBytes = socket.bytesRead;
    });
  }

  /** From now on each connection ends with its answer, if not begun yet. */
  drain(): void {
    this.draining = true;
    for (const {responses} of this.uses.values()) {
      for (const res of responses) {
        if (!res.headersSent) res.shouldKeepAlive = false;
      }
    }
  }

  /** Closes connections that have sent all and read no part of a request. */
  override closeIdleConnections(): void {
    for (const [socket, {responses, readBytes}] of this.uses) {
      const isUsed = readBytes > 0;
      const isIdle = responses.size === 0 && socket.bytesRead === readBytes;
      if (isUsed && isIdle) socket.destroy();
    }
  }
}
