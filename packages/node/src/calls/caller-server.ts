/** HTTP server that closes idle connections without losing answers. */

import {
  Server,
  type IncomingMessage,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

/** Parsing errors that are not answered with 400, by their code. */
const ERROR_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

interface ConnectionState {
  /** Responses that are not fully sent, in the order of their requests. */
  responses: Set<ServerResponse>;
  /** Bytes read from the connection until its last response was closed. */
  readBytes: number;
  /** Bytes that are no valid request have arrived; nothing more is read. */
  failed: boolean;
  /** The response that was chosen to close the connection. */
  closing: ServerResponse | undefined;
}

/**
 * Overrides `closeIdleConnections`, which `close` also calls. The method of
 * Node.js treats a connection as idle once its response has ended, and drops
 * the part of the response that is not sent yet.
 *
 * Load pattern: callers that send further requests before the first one is
 * answered. An answer closes its connection only if none of the requests behind
 * it has been passed on.
 */
export class CallerServer extends Server {
  private readonly states = new Map<Socket, ConnectionState>();
  /** Responses to requests that have not been passed on to a server. */
  private readonly held = new WeakSet<ServerResponse>();
  private draining = false;

  constructor(
    options: ServerOptions,
    listener?: (req: IncomingMessage, res: ServerResponse) => void,
  ) {
    super(options);
    this.on('connection', (socket: Socket) => {
      this.states.set(socket, {
        responses: new Set(),
        readBytes: 0,
        failed: false,
        closing: undefined,
      });
      socket.once('close', () => this.states.delete(socket));
    });
    this.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.handleError(err, socket as Socket);
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

  /** True once each connection is to close after its answers. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** Records a request. To be called for requests without a `request` event. */
  recordRequest({socket}: IncomingMessage, res: ServerResponse): void {
    const state = this.states.get(socket);
    if (!state) return;
    state.responses.add(res);
    this.chooseClosing(state);
    res.once('close', () => {
      state.responses.delete(res);
      state.readBytes = socket.bytesRead;
      if (state.failed && state.responses.size === 0) socket.destroySoon();
    });
  }

  /** The request of `res` is not passed on before `pass` is called. */
  hold(socket: Socket, res: ServerResponse): void {
    this.held.add(res);
    this.chooseClosing(this.states.get(socket));
  }

  /**
   * The request of `res` is to be passed on. Returns false if an answer before
   * it closes the connection.
   */
  pass(socket: Socket, res: ServerResponse): boolean {
    const state = this.states.get(socket);
    const {closing} = state ?? {};
    if (closing !== res && closing?.headersSent) return false;
    this.held.delete(res);
    this.chooseClosing(state);
    return true;
  }

  /**
   * From now on each connection closes after the answer to the last request
   * that was passed on.
   */
  drain(): void {
    this.draining = true;
    for (const state of this.states.values()) this.chooseClosing(state);
  }

  /** Closes used connections with no unsent answer and no partial request. */
  override closeIdleConnections(): void {
    for (const [socket, {responses, readBytes}] of this.states) {
      const isUsed = readBytes > 0;
      const isIdle = responses.size === 0 && socket.bytesRead === readBytes;
      if (isUsed && isIdle) socket.destroy();
    }
  }

  /** Lets the last response that will be sent close its connection. */
  private chooseClosing(state: ConnectionState | undefined): void {
    if (!state || !(this.draining || state.failed)) return;
    const {responses, closing} = state;
    const last = [...responses]
      .filter(res => !this.draining || !this.held.has(res))
      .at(-1);
    if (last === closing) return;
    if (closing && !closing.headersSent) closing.shouldKeepAlive = true;
    const isOpen = last?.headersSent === false && last.shouldKeepAlive;
    state.closing = isOpen ? last : undefined;
    if (isOpen) last.shouldKeepAlive = false;
  }

  /** Answers what was received before an error; then closes the connection. */
  private handleError(err: NodeJS.ErrnoException, socket: Socket): void {
    const state = this.states.get(socket);
    const last = [...(state?.responses ?? [])].at(-1);
    const hasLeft = socket.readableEnded || err.code === 'ECONNRESET';
    if (!state || !socket.writable || hasLeft) {
      socket.destroy(err);
      return;
    }
    if (state.failed) return;
    const status = ERROR_STATUSES[err.code ?? ''] ?? '400 Bad Request';
    if (!last) {
      socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
      socket.destroySoon();
      return;
    }
    state.failed = true;
    if (last.req.complete) {
      this.chooseClosing(state);
    } else if (last.headersSent) {
      socket.destroy(err);
    } else {
      // The body of the last request is malformed, so that it was not passed on.
      last.shouldKeepAlive = false;
      last.writeHead(Number.parseInt(status, 10), {'content-length': 0}).end();
    }
  }
}
