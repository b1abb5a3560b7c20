/** A TCP connection to the backend server; carries one request at a time. */

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

/** A serialized request. */
export interface WireRequest {
  head: Buffer;
  /** The bytes of the body in order. */
  body: readonly Uint8Array[];
  requestId: string | undefined;
  /** True for HEAD, whose answer has no body. */
  bodyless: boolean;
}

/**
 * How an exchange ended. `not-sent`: no byte of the request was sent. `lost`:
 * the request was sent, but no complete answer to it arrived.
 */
export type ExchangeEnd =
  | {kind: 'answered'; answer: ServerAnswer}
  | {kind: 'not-sent'; detail: string}
  | {kind: 'lost'; detail: string};

/** The request on a connection that an answer belongs to. */
type AnswerOwner = 'current' | 'earlier' | 'unknown';

type Settle = (end: ExchangeEnd) => void;

const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/i;
const MS_PER_S = 1000;
/** Share of the server's idle timeout for which a connection is reused. */
const IDLE_TIMEOUT_SHARE = 0.6;
/** Idle time in ms allowed for reuse if the server states no idle timeout. */
const DEFAULT_MAX_IDLE_MS = 4_000;

const EMPTY_LINE = '\r\n';
/** Late answers to earlier requests that are ignored on one connection. */
const MAX_LATE_ANSWERS = 4;

/**
 * Read buffer shared by all connections: bytes to be kept are copied before the
 * next read. A buffer for each read would occupy memory until it is garbage
 * collected.
 */
const READ_BUFFER = Buffer.allocUnsafeSlow(64 * 1024);

/** Reports only its close to the owner; an exchange reports its own end. */
export class ServerConnection implements AnswerHolder {
  /** Time in ms at which the connection became idle. */
  idleSinceMs = 0;
  /** Idle time in ms after which the connection is not reused. */
  maxIdleMs = DEFAULT_MAX_IDLE_MS;
  /** Called once when the connection has closed. */
  onClosed: (() => void) | undefined;
  private readonly socket: Socket;
  private readonly parser: AnswerParser;
  private settle: Settle | undefined;
  private requestId: string | undefined;
  /** Number of exchanges that have started on this connection. */
  private exchanges = 0;
  private closed = false;
  private tainted = false;
  private lateAnswers = 0;

  private constructor(
    socket: Socket,
    private readonly answerBudget: AnswerBudget,
  ) {
    this.socket = socket;
    this.parser = new AnswerParser({
      answer: answer => this.handleAnswer(answer),
      malformed: detail => this.close(`malformed answer: ${detail}`),
      buffered: bytes => reserveBytes(answerBudget, this, bytes),
    });
    socket.setNoDelay(true);
    socket.on('end', () => this.confirmEnd());
    socket.on('error', err => this.close(err.message));
    socket.on('close', () => this.close('closed'));
  }

  /** Opens a connection; rejects if that takes longer than `timeoutMs`. */
  static open(
    address: string,
    port: number,
    timeoutMs: number,
    answerBudget: AnswerBudget,
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
        socket.destroy(new Error('connection to the server timed out'));
      });
      socket.once('error', err => {
        timer.clear();
        reject(err);
      });
      socket.once('connect', () => {
        timer.clear();
        socket.removeAllListeners('error');
        opened = new ServerConnection(socket, answerBudget);
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

  /** Sends a request; calls `settle` once, with the end of the exchange. */
  exchange(req: WireRequest, settle: Settle): void {
    if (this.closed) {
      settle({kind: 'not-sent', detail: 'The connection is closed.'});
      return;
    }
    this.settle = settle;
    this.requestId = req.requestId;
    this.exchanges += 1;
    this.parser.begin(req.bodyless);
    this.socket.cork();
    this.socket.write(req.head);
    for (const chunk of req.body) this.socket.write(chunk);
    this.socket.uncork();
  }

  /**
   * Closes the connection: the buffered answers exceed their common budget, and
   * the answer of this connection is the largest.
   */
  freeBuffer(): void {
    this.close('answer discarded: buffered answers exceed their memory budget');
  }

  /** Closes the connection; a running exchange ends as `lost`. */
  close(detail: string): void {
    if (this.closed) return;
    this.closed = true;
    this.socket.destroy();
    this.parser.discard();
    this.answerBudget.release(this);
    const {settle} = this;
    this.settle = undefined;
    settle?.({kind: 'lost', detail});
    this.onClosed?.();
  }

  /**
   * Tells an orderly end from a reset: Node.js reports a reset that arrives
   * together with data as an orderly end. A write fails at once only after a
   * reset. A server that still reads ignores an empty line before a request.
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

  /** Parses received bytes; closes the connection if no request is running. */
  private receive(chunk: Buffer): void {
    if (!this.settle) {
      this.close('the server sent bytes without a request');
      return;
    }
    this.parser.push(chunk);
  }

  private handleAnswer(answer: ServerAnswer): void {
    const {settle} = this;
    this.answerBudget.release(this);
    if (!settle) {
      this.tainted = true;
      return;
    }
    const owner = this.ownerOf(answer);
    if (owner === 'earlier') {
      // The right answer is still to come.
      this.tainted = true;
      this.lateAnswers += 1;
      if (this.lateAnswers > MAX_LATE_ANSWERS) this.close('only late answers');
      return;
    }
    if (owner === 'unknown') {
      this.close('an answer without a request id on a reused connection');
      return;
    }
    this.settle = undefined;
    this.recordIdleTimeout(answer);
    settle({kind: 'answered', answer});
    // The microtask runs after bytes that arrived with the answer are parsed.
    queueMicrotask(() => this.closeUnlessReusable(answer));
  }

  /**
   * Tells which request an answer belongs to: a server may repeat an earlier
   * answer late, and only the id that it echoes identifies such a copy.
   */
  private ownerOf({headers}: ServerAnswer): AnswerOwner {
    const echoed = headerOf(headers, REQUEST_ID_HEADER);
    if (echoed !== undefined) {
      return echoed === this.requestId ? 'current' : 'earlier';
    }
    const mayBeEarlier = this.requestId !== undefined && this.exchanges > 1;
    return mayBeEarlier ? 'unknown' : 'current';
  }

  private recordIdleTimeout(answer: ServerAnswer): void {
    const text = headerOf(answer.headers, 'keep-alive') ?? '';
    const match = KEEP_ALIVE_TIMEOUT.exec(text);
    if (!match) return;
    this.maxIdleMs = Number(match[1]) * MS_PER_S * IDLE_TIMEOUT_SHARE;
  }

  private closeUnlessReusable(answer: ServerAnswer): void {
    const hasUnsentBytes = this.socket.writableLength > 0;
    if (answer.keepAlive && !this.tainted && !hasUnsentBytes) return;
    if (!this.settle) this.close('the connection cannot be reused');
  }
}
