/** One TCP connection to the backend server; one request at a time. */

import {connect, type Socket} from 'node:net';

import {REQUEST_ID_HEADER} from '@turmericmill/platform-adapter';
import {headerOf} from '@turmericmill/node';
import {DeadlineTimer} from '@turmericmill/utils';

import {
  reserveBytes,
  type AnswerBudget,
  type AnswerHolder,
} from '../answer-budget.js';
import {AnswerParser, type ServerAnswer} from './answer-parser.js';

/** A request as it goes on the wire. */
export interface WireRequest {
  head: Buffer;
  /** The bytes of the body in order. */
  body: readonly Uint8Array[];
  requestId: string | undefined;
  /** True for HEAD, whose answer has no body. */
  bodyless: boolean;
}

/**
 * How an exchange ended. `not-sent`: no byte of the request went out. `lost`:
 * the request went out, and no whole answer to it came back.
 */
export type ExchangeEnd =
  | {kind: 'answered'; answer: ServerAnswer}
  | {kind: 'not-sent'; detail: string}
  | {kind: 'lost'; detail: string};

type Settle = (end: ExchangeEnd) => void;

const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/i;
const MS_PER_S = 1000;
/** Part of the server's idle timeout after which a connection is not reused. */
const IDLE_SHARE = 0.6;
/** Idle time in ms after which a connection is not reused, if none is told. */
const DEFAULT_IDLE_MS = 4_000;

const EMPTY_LINE = '\r\n';
/** Late answers to earlier requests that are passed over on a connection. */
const MAX_LATE_ANSWERS = 4;

/**
 * Read into by all connections, one after the other: what is kept of the bytes
 * is copied at once. A buffer for each read would wait for garbage collection.
 */
const READ_BUFFER = Buffer.allocUnsafeSlow(64 * 1024);

/** Tells its owner only of its end; exchanges settle their own callbacks. */
export class ServerConnection implements AnswerHolder {
  /** Time in ms at which the connection became idle. */
  idleSinceMs = 0;
  /** Idle time in ms after which the connection is not reused. */
  maxIdleMs = DEFAULT_IDLE_MS;
  /** Called once when the connection is over. */
  onClosed: (() => void) | undefined;
  private readonly socket: Socket;
  private readonly parser: AnswerParser;
  private settle: Settle | undefined;
  private requestId: string | undefined;
  private closed = false;
  private tainted = false;
  private lateAnswers = 0;

  private constructor(
    socket: Socket,
    private readonly answers: AnswerBudget,
  ) {
    this.socket = socket;
    this.parser = new AnswerParser({
      answer: answer => this.take(answer),
      malformed: detail => this.close(`malformed answer: ${detail}`),
      held: bytes => reserveBytes(answers, this, bytes),
    });
    socket.setNoDelay(true);
    socket.on('end', () => this.confirmEnd());
    socket.on('error', err => this.close(err.message));
    socket.on('close', () => this.close('closed'));
  }

  /** Opens a connection, or rejects by `timeoutMs`. */
  static open(
    address: string,
    port: number,
    timeoutMs: number,
    answers: AnswerBudget,
  ): Promise<ServerConnection> {
    return new Promise((resolve, reject) => {
      let opened: ServerConnection | undefined;
      const callback = (bytes: number) => {
        opened?.receive(READ_BUFFER.subarray(0, bytes));
        return true;
      };
      const socket = connect({
        host: address,
        port,
        allowHalfOpen: true,
        onread: {buffer: READ_BUFFER, callback},
      });
      const timer = new DeadlineTimer();
      timer.set(timeoutMs, () => {
        socket.destroy(new Error('connect timeout'));
      });
      socket.once('error', err => {
        timer.clear();
        reject(err);
      });
      socket.once('connect', () => {
        timer.clear();
        socket.removeAllListeners('error');
        opened = new ServerConnection(socket, answers);
        resolve(opened);
      });
    });
  }

  /** True if another request may be sent. */
  isUsable(nowMs: number): boolean {
    if (this.closed || this.settle) return false;
    return nowMs - this.idleSinceMs < this.maxIdleMs;
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Sends a request; `settle` is called once. */
  exchange(req: WireRequest, settle: Settle): void {
    if (this.closed) {
      settle({kind: 'not-sent', detail: 'The connection is closed.'});
      return;
    }
    this.settle = settle;
    this.requestId = req.requestId;
    this.parser.begin(req.bodyless);
    this.socket.cork();
    this.socket.write(req.head);
    for (const chunk of req.body) this.socket.write(chunk);
    this.socket.uncork();
  }

  /** All answers together take too much memory, and this one most of it. */
  freeBuffer(): void {
    this.close('answer given up: too many bytes are held');
  }

  /** Ends the connection; a running exchange is lost. */
  close(detail: string): void {
    if (this.closed) return;
    this.closed = true;
    this.socket.destroy();
    this.parser.discard();
    this.answers.release(this);
    const {settle} = this;
    this.settle = undefined;
    settle?.({kind: 'lost', detail});
    this.onClosed?.();
  }

  /**
   * Node reports a reset as an orderly end when it arrives together with data.
   * Writing tells them apart: only after a reset does it fail at once. An empty
   * line is no request to a server that still reads.
   */
  private confirmEnd(): void {
    if (!this.settle || !this.parser.endsWithConnection) {
      this.close('closed by the server');
      return;
    }
    this.socket.write(EMPTY_LINE, err => {
      if (!err) this.parser.end();
      this.close(err ? err.message : 'closed by the server');
    });
  }

  /** Bytes without a request belong to no one: the connection is not kept. */
  private receive(chunk: Buffer): void {
    if (!this.settle) {
      this.close('bytes without a request');
      return;
    }
    this.parser.push(chunk);
  }

  private take(answer: ServerAnswer): void {
    const {settle} = this;
    this.answers.release(this);
    if (!settle) {
      this.tainted = true;
      return;
    }
    const echoed = headerOf(answer.headers, REQUEST_ID_HEADER);
    if (echoed !== undefined && echoed !== this.requestId) {
      // A late second answer to an earlier request; ours is still to come.
      this.tainted = true;
      this.lateAnswers += 1;
      if (this.lateAnswers > MAX_LATE_ANSWERS) this.close('no answer of ours');
      return;
    }
    this.settle = undefined;
    this.noteIdleTimeout(answer);
    settle({kind: 'answered', answer});
    // Whatever came behind the answer has been parsed by then.
    queueMicrotask(() => this.retireUnlessClean(answer));
  }

  private noteIdleTimeout(answer: ServerAnswer): void {
    const text = headerOf(answer.headers, 'keep-alive') ?? '';
    const match = KEEP_ALIVE_TIMEOUT.exec(text);
    if (!match) return;
    this.maxIdleMs = Number(match[1]) * MS_PER_S * IDLE_SHARE;
  }

  private retireUnlessClean(answer: ServerAnswer): void {
    const unsent = this.socket.writableLength > 0;
    if (answer.keepAlive && !this.tainted && !unsent) return;
    if (!this.settle) this.close('not to be reused');
  }
}
