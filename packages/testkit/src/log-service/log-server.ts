/** Log stand-in: serves the log service's HTTP protocol from a `MemoryLog`. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import {MAX_RECORD_BYTES} from '@turmericmill/platform';

import {AnswerReorderer} from './answer-reorderer.js';
import {handleControlCall, type TrimRequest} from './log-control.js';
import {
  NO_FAULTS,
  planCall,
  type AppendWindow,
  type CallPlan,
  type LogFaults,
} from './log-faults.js';
import {MemoryLog} from './memory-log.js';

const STREAM_PATH = /^\/streams\/([a-z0-9-]+)(\/records)?$/;
const CONTROL_PATH = '/control';
const KEEP_ALIVE_MS = 60_000;

/** Exact counts of calls and of body bytes. */
export interface LogCounts {
  appends: number;
  reads: number;
  bytesIn: number;
  bytesOut: number;
}

/** Options of the log stand-in. */
export interface LogServerOptions {
  /** Bearer token that callers must send; none by default. */
  token?: string;
}

interface ReadQuery {
  from: number;
  limit: number;
  waitMs: number;
}

/** HTTP server of the log stand-in. */
export class LogServer {
  readonly log = new MemoryLog();
  readonly counts: LogCounts = {appends: 0, reads: 0, bytesIn: 0, bytesOut: 0};
  private current: LogFaults = {...NO_FAULTS};
  private window: AppendWindow = {startMs: 0, appends: 0};
  private readonly reorderer = new AnswerReorderer();
  private readonly server = createServer((req, res) => {
    void this.handleRequest(req, res);
  });

  constructor(private readonly options: LogServerOptions = {}) {}

  /** Listens on loopback; returns the base URL. Port 0 selects a free port. */
  async start(port = 0): Promise<string> {
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
    await new Promise<void>(resolve => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    const address = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${address.port}`;
  }

  async stop(): Promise<void> {
    this.reorderer.release();
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Faults in force. */
  get faults(): LogFaults {
    return this.current;
  }

  /** Changes the given faults and keeps the others. */
  setFaults(faults: Partial<LogFaults>): void {
    this.current = {...this.current, ...faults};
    if (!this.current.crossAnswers) this.reorderer.release();
  }

  /** Removes the records of a stream before an offset. */
  trim({stream, before}: TrimRequest): void {
    this.log.trim(stream, before);
  }

  private async handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://log');
    const body = await readText(req).catch(() => undefined);
    if (body === undefined) return;
    const call = `${req.method ?? ''} ${url.pathname}`;
    if (url.pathname.startsWith(CONTROL_PATH)) {
      this.answerControl(res, call, body);
    } else if (!this.isAllowed(req)) {
      this.reply(res, 401, errorBody('refused', 'A token is needed.'));
    } else {
      this.handleStreamCall(req, res, url, body);
    }
  }

  private answerControl(res: ServerResponse, call: string, body: string): void {
    const answer = handleControlCall(this, call, body);
    if (answer.isOk()) write(res, 200, answer.value);
    else write(res, 400, errorBody('refused', answer.error));
  }

  private isAllowed(req: IncomingMessage): boolean {
    const {token} = this.options;
    if (token === undefined) return true;
    return req.headers.authorization === `Bearer ${token}`;
  }

  private handleStreamCall(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
    body: string,
  ): void {
    const match = STREAM_PATH.exec(url.pathname);
    const name = match?.[1];
    const isRecords = match?.[2] !== undefined;
    const isAppend = req.method === 'POST' && isRecords;
    if (name === undefined) {
      this.reply(res, 404, errorBody('not-found', 'No such path.'));
    } else if (!isAppend && req.method !== 'GET') {
      this.reply(res, 405, errorBody('refused', 'Method not allowed.'));
    } else if (isAppend) {
      this.append(res, name, body, this.plan(true));
    } else if (this.plan(false) !== 'serve') {
      this.refuse(res);
    } else if (isRecords) {
      this.read(res, name, url.searchParams);
    } else {
      this.reply(res, 200, this.log.bounds(name));
    }
  }

  private plan(isAppend: boolean): CallPlan {
    const decision = planCall(this.current, this.window, isAppend, Date.now());
    this.current = decision.faults;
    this.window = decision.window;
    return decision.plan;
  }

  /** Refuses a call with 503; sends no answer while `silent` is set. */
  private refuse(res: ServerResponse): void {
    if (this.current.silent) return;
    this.reply(res, 503, errorBody('unavailable', 'The log is down.'));
  }

  private append(
    res: ServerResponse,
    name: string,
    body: string,
    plan: CallPlan,
  ): void {
    this.counts.appends += 1;
    this.counts.bytesIn += Buffer.byteLength(body);
    if (plan === 'refuse' || plan === 'hang') {
      this.refuse(res);
    } else if (plan === 'lose-request') {
      res.destroy();
    } else if (Buffer.byteLength(body) > MAX_RECORD_BYTES) {
      this.reply(res, 413, errorBody('too-large', 'The record is too large.'));
    } else {
      const offset = this.log.append(name, body);
      this.log.trim(name, offset + 1 - this.current.maxRecords);
      if (plan === 'lose-answer') res.destroy();
      else this.reply(res, 200, {offset});
    }
  }

  private read(
    res: ServerResponse,
    name: string,
    params: URLSearchParams,
  ): void {
    const query = parseReadQuery(params);
    this.counts.reads += 1;
    if (!query) {
      this.reply(res, 400, errorBody('refused', 'Malformed query.'));
      return;
    }
    const {from, waitMs} = query;
    const {next} = this.log.bounds(name);
    if (from < next || waitMs === 0) this.answerRead(res, name, query);
    else this.waitForAppend(res, name, query);
  }

  private answerRead(
    res: ServerResponse,
    name: string,
    {from, limit}: ReadQuery,
  ): void {
    const bounds = this.log.bounds(name);
    if (from < bounds.earliest) {
      const body = errorBody('trimmed', `Records before ${bounds.earliest}.`);
      this.reply(res, 410, {...body, bounds});
    } else {
      this.reply(res, 200, this.log.read(name, from, limit));
    }
  }

  private waitForAppend(
    res: ServerResponse,
    name: string,
    query: ReadQuery,
  ): void {
    const finish = () => {
      clearTimeout(timer);
      stopWaiting();
      if (this.current.down || this.current.silent) this.refuse(res);
      else this.answerRead(res, name, query);
    };
    const timer = setTimeout(finish, query.waitMs);
    const stopWaiting = this.log.onAppend(name, finish);
    res.once('close', () => {
      clearTimeout(timer);
      stopWaiting();
    });
  }

  private reply(res: ServerResponse, status: number, body: object): void {
    const send = () => {
      this.counts.bytesOut += write(res, status, body);
    };
    const {delayMs, crossAnswers} = this.current;
    const schedule = crossAnswers ? () => this.reorderer.schedule(send) : send;
    if (delayMs > 0) setTimeout(schedule, delayMs).unref();
    else schedule();
  }
}

/** Writes an answer and returns the bytes of its body. */
function write(res: ServerResponse, status: number, body: object): number {
  if (res.destroyed) return 0;
  const text = JSON.stringify(body);
  const bytes = Buffer.byteLength(text);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': bytes,
  });
  res.end(text);
  return bytes;
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

function parseReadQuery(params: URLSearchParams): ReadQuery | undefined {
  const from = Number(params.get('from') ?? 0);
  const limit = Number(params.get('limit') ?? 100);
  const waitMs = Number(params.get('waitMs') ?? 0);
  const isValid =
    [from, limit, waitMs].every(Number.isSafeInteger) &&
    Math.min(from, waitMs) >= 0 &&
    limit > 0;
  return isValid ? {from, limit, waitMs} : undefined;
}

function errorBody(code: string, message: string): {error: object} {
  return {error: {code, message}};
}
