/** Client of the HTTP protocol of the log service (docs/PROTOCOLS.md). */

import {Agent, errors, request, type Dispatcher} from 'undici';

import {Err, Ok, type Result} from '@turmericmill/utils';

import {
  LogClient,
  MAX_RECORD_BYTES,
  type LogError,
  type LogErrorCode,
  type LogPage,
  type Offset,
  type ReadOptions,
  type StreamBounds,
  type StreamName,
} from './log-client.js';

/** Connection options of the log service. */
export interface HttpLogOptions {
  /** Base URLs with IP addresses; after a failed call, the next one is used. */
  urls: string[];
  /** Bearer token; absent if the service requires none. */
  token?: string;
}

/** Timeout in ms for an answer, in addition to the wait of a long poll. */
const CALL_TIMEOUT_MS = 5000;

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface HttpAnswer {
  status: number;
  body: unknown;
}

/** Client that uses one of several URLs until a call to it fails. */
export class HttpLogClient extends LogClient {
  private readonly agent = new Agent({connections: 8, pipelining: 1});
  /** Index of the URL in use in `options.urls`. */
  private urlIndex = 0;

  constructor(private readonly options: HttpLogOptions) {
    super();
  }

  override async append(
    stream: StreamName,
    body: string,
  ): Promise<Result<Offset, LogError>> {
    if (Buffer.byteLength(body) > MAX_RECORD_BYTES) {
      const message = `Record exceeds the limit of ${MAX_RECORD_BYTES} bytes.`;
      return Err({code: 'too-large', message});
    }
    const path = `/streams/${stream}/records`;
    const answer = await this.call('POST', path, CALL_TIMEOUT_MS, body);
    return answer.map(value => (value as {offset: Offset}).offset);
  }

  override async read(
    stream: StreamName,
    from: Offset,
    {limit, waitMs}: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    const query = `from=${from}&limit=${limit}&waitMs=${waitMs}`;
    const path = `/streams/${stream}/records?${query}`;
    const answer = await this.call('GET', path, waitMs + CALL_TIMEOUT_MS);
    return answer.map(value => value as LogPage);
  }

  override async bounds(
    stream: StreamName,
  ): Promise<Result<StreamBounds, LogError>> {
    const path = `/streams/${stream}`;
    const answer = await this.call('GET', path, CALL_TIMEOUT_MS);
    return answer.map(value => value as StreamBounds);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    timeoutMs: number,
    body?: string,
  ): Promise<Result<unknown, LogError>> {
    try {
      const answer = await this.send(method, path, timeoutMs, body);
      return toResult(answer);
    } catch (err) {
      this.urlIndex = (this.urlIndex + 1) % this.options.urls.length;
      return Err(toLogError(err));
    }
  }

  private async send(
    method: 'GET' | 'POST',
    path: string,
    timeoutMs: number,
    body?: string,
  ): Promise<HttpAnswer> {
    const options: Omit<Dispatcher.RequestOptions, 'origin' | 'path'> = {
      method,
      headers: this.headers(body !== undefined),
      body: body ?? null,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    };
    const url = `${this.options.urls[this.urlIndex] ?? ''}${path}`;
    const res = await request(url, {...options, dispatcher: this.agent});
    return {status: res.statusCode, body: await res.body.json()};
  }

  private headers(hasBody: boolean): Record<string, string> {
    const headers: Record<string, string> = {};
    if (hasBody) headers['content-type'] = 'application/json';
    const {token} = this.options;
    if (token !== undefined) headers['authorization'] = `Bearer ${token}`;
    return headers;
  }
}

function toResult({status, body}: HttpAnswer): Result<unknown, LogError> {
  if (status >= 200 && status < 300) return Ok(body);
  const {error, bounds} = body as {
    error?: {message?: string};
    bounds?: StreamBounds;
  };
  const message =
    error?.message ?? `Log service answered with status ${status}.`;
  const code = codeOfStatus(status);
  return Err(bounds ? {code, message, bounds} : {code, message});
}

/** 503: the call was not accepted. Any other 5xx: it may have been accepted. */
function codeOfStatus(status: number): LogErrorCode {
  if (status === 410) return 'trimmed';
  if (status === 413) return 'too-large';
  if (status === 503) return 'unavailable';
  return status >= 500 ? 'outcome-unknown' : 'refused';
}

function toLogError(err: unknown): LogError {
  const code =
    err instanceof errors.UndiciError || err instanceof Error
      ? ((err as NodeJS.ErrnoException).code ?? '')
      : '';
  const message = err instanceof Error ? err.message || code : String(err);
  if (NOT_SENT_CODES.has(code)) return {code: 'unavailable', message};
  return {code: 'outcome-unknown', message};
}
