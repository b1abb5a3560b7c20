/** The log stand-in: the log service's HTTP protocol over a `MemoryLog`. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import {MAX_RECORD_BYTES} from '@turmericmill/platform';

import {MemoryLog} from './memory-log.js';

const STREAM_PATH = /^\/streams\/([a-z0-9-]+)(\/records)?$/;

/** Exact counts of what the log was asked for. */
export interface LogCounts {
  appends: number;
  reads: number;
  bytesIn: number;
  bytesOut: number;
}

/** The stand-in's HTTP server. */
export class LogServer {
  readonly log = new MemoryLog();
  readonly counts: LogCounts = {appends: 0, reads: 0, bytesIn: 0, bytesOut: 0};
  private readonly server = createServer((req, res) => {
    void this.handle(req, res);
  });

  /** Listens on loopback and returns the base URL. Port 0 picks a free one. */
  async start(port = 0): Promise<string> {
    this.server.keepAliveTimeout = 60_000;
    await new Promise<void>(resolve => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    const address = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${address.port}`;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private async handle(req: IncomingMessage, res: ServerResponse) {
    const url = new URL(req.url ?? '/', 'http://log');
    const match = STREAM_PATH.exec(url.pathname);
    const name = match?.[1];
    if (name === undefined) {
      this.reply(res, 404, errorBody('not-found', 'No such path.'));
    } else if (req.method === 'POST' && match?.[2]) {
      await this.append(req, res, name);
    } else if (req.method === 'GET' && match?.[2]) {
      this.read(res, name, url.searchParams);
    } else if (req.method === 'GET') {
      this.reply(res, 200, this.log.bounds(name));
    } else {
      this.reply(res, 405, errorBody('method', 'Method not allowed.'));
    }
  }

  private async append(
    req: IncomingMessage,
    res: ServerResponse,
    name: string,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks);
    this.counts.appends += 1;
    this.counts.bytesIn += body.length;
    if (body.length > MAX_RECORD_BYTES) {
      this.reply(res, 413, errorBody('too-large', 'The record is too large.'));
      return;
    }
    const offset = this.log.append(name, body.toString());
    this.reply(res, 200, {offset});
  }

  private read(res: ServerResponse, name: string, query: URLSearchParams) {
    const from = Number(query.get('from') ?? 0);
    const limit = Number(query.get('limit') ?? 100);
    const waitMs = Number(query.get('waitMs') ?? 0);
    this.counts.reads += 1;
    const bounds = this.log.bounds(name);
    if (from < bounds.earliest) {
      const body = errorBody('trimmed', `Records before ${bounds.earliest}.`);
      this.reply(res, 410, {...body, bounds});
    } else if (from < bounds.next || waitMs === 0) {
      this.reply(res, 200, this.log.read(name, from, limit));
    } else {
      this.wait(res, name, {from, limit, waitMs});
    }
  }

  private wait(
    res: ServerResponse,
    name: string,
    {from, limit, waitMs}: {from: number; limit: number; waitMs: number},
  ): void {
    const finish = () => {
      clearTimeout(timer);
      stopWaiting();
      this.reply(res, 200, this.log.read(name, from, limit));
    };
    const timer = setTimeout(finish, waitMs);
    const stopWaiting = this.log.onAppend(name, finish);
    res.once('close', () => {
      clearTimeout(timer);
      stopWaiting();
    });
  }

  private reply(res: ServerResponse, status: number, body: object): void {
    if (res.destroyed) return;
    const text = JSON.stringify(body);
    this.counts.bytesOut += Buffer.byteLength(text);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  }
}

function errorBody(code: string, message: string): {error: object} {
  return {error: {code, message}};
}
