/**
 * Checks the answers of a backend server before the HTTP client reads them. The
 * client believes any answer that it can read, also one whose head was spoilt.
 */

import type {Socket} from 'node:net';

import {AnswerReader} from '@turmericmill/http';
import {Client, type buildConnector, type Dispatcher} from 'undici';

type Connector = buildConnector.connector;

/** A client of one connection, which fails unless it gets sound answers. */
export class GatedClient extends Client {
  private readonly gate: AnswerGate;

  /** `options.connect` is a function, as a pool passes it to its clients. */
  constructor(origin: URL, options: Client.Options) {
    const gate = new AnswerGate();
    super(origin, {
      ...options,
      connect: gate.guard(options.connect as Connector),
    });
    this.gate = gate;
  }

  /** Sends a request; there is one at a time, as nothing is pipelined. */
  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    this.gate.begin(options.method === 'HEAD');
    return super.dispatch(options, handler);
  }
}

class AnswerGate {
  private reader: AnswerReader | undefined;
  private isBodyless = false;

  /** Starts an exchange; `isBodyless` for HEAD, whose answers have no body. */
  begin(isBodyless: boolean): void {
    this.isBodyless = isBodyless;
    this.reader?.begin(isBodyless);
  }

  /** Returns a connector whose sockets let only sound answers pass. */
  guard(connect: Connector): Connector {
    return (options, callback) => {
      connect(options, (...result) => {
        const [err, socket] = result;
        if (err === null) this.watch(socket);
        callback(...result);
      });
    };
  }

  /** Ends the socket in place of bytes that are no sound answer. */
  private watch(socket: Socket): void {
    let malformed: Error | undefined;
    const reader = new AnswerReader({
      head: () => undefined,
      body: () => undefined,
      end: () => undefined,
      malformed: detail => {
        malformed = new Error(`malformed answer: ${detail}`);
      },
    });
    reader.begin(this.isBodyless);
    this.reader = reader;
    const push = socket.push.bind(socket);
    socket.push = (chunk: Buffer | null, ...rest) => {
      if (chunk) reader.push(chunk);
      else reader.end();
      if (!malformed) return push(chunk, ...rest);
      socket.destroy(malformed);
      return false;
    };
  }
}
