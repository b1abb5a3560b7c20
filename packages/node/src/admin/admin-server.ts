/** The HTTP server of the administration API. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';

import {Err, Ok, type Result} from '@turmericmill/utils';

import type {AdminSettings, ListenAddress} from '../settings/index.js';
import {AccessToken} from './access-token.js';
import {
  ADMIN_ERROR_STATUS,
  type AdminError,
  type AdminErrorCode,
} from './admin-error.js';
import {
  ADMIN_ROUTES,
  type AdminAnswer,
  type AdminRoute,
} from './admin-routes.js';
import type {NodeView} from './node-view.js';
import {readBody} from './read-body.js';

/** Maximum size of a request body. */
export const MAX_ADMIN_BODY_BYTES = 16 * 1024;
const MAX_HEADER_BYTES = 8 * 1024;
const MAX_CONNECTIONS = 64;
const REQUEST_TIMEOUT_MS = 10_000;

/** Called for each answered request, for the node's log. */
export type AdminRequestListener = (entry: {
  method: string;
  path: string;
  status: number;
}) => void;

/** Serves a `NodeView` to administrators over HTTP. */
export class AdminServer {
  private readonly server: Server;
  private readonly token: AccessToken;

  constructor(
    private readonly settings: AdminSettings,
    private readonly view: NodeView,
    private readonly onRequest: AdminRequestListener = () => undefined,
  ) {
    this.token = new AccessToken(settings.token);
    this.server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS},
      (req, res) => void this.serve(req, res),
    );
    this.server.maxConnections = MAX_CONNECTIONS;
    this.server.on('clientError', answerUnparsedRequest);
  }

  /** Starts listening and returns the address in use. */
  async start(): Promise<ListenAddress> {
    const {address, port} = this.settings;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
    return {address, port: (this.server.address() as AddressInfo).port};
  }

  /** Stops listening; resolves once the answers in progress have been sent. */
  async close(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeIdleConnections();
    await closed;
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = parseTarget(req.url);
    const result = url
      ? await this.answer(req, url).catch(toInternalError)
      : fail('bad-request', 'The request target is malformed.');
    const path = url?.pathname ?? '';
    const {status, body} = result.isOk()
      ? result.value
      : {
          status: ADMIN_ERROR_STATUS[result.error.code],
          body: {error: result.error},
        };
    this.onRequest({method: req.method ?? '', path, status});
    if (result.isErr()) addErrorHeaders(res, result.error, path);
    writeJson(res, status, body);
  }

  private async answer(
    req: IncomingMessage,
    url: URL,
  ): Promise<Result<AdminAnswer, AdminError>> {
    const found = findRoute(req.method, url.pathname);
    const isOpen = found.isOk() && found.value.access === 'open';
    if (!isOpen && !this.token.matches(req.headers.authorization)) {
      return fail('unauthorized', 'A bearer token is needed.');
    }
    if (found.isErr()) return found;
    const route = found.value;
    if (route.method === 'GET') {
      return route.handle(this.view, {query: url.searchParams, body: ''});
    }
    if (!isJson(req)) {
      return fail('not-json', 'The body has to be application/json.');
    }
    const read = await readBody(req, MAX_ADMIN_BODY_BYTES);
    return read.andThen(body =>
      route.handle(this.view, {query: url.searchParams, body}),
    );
  }
}

function parseTarget(target = '/'): URL | undefined {
  const base = 'http://node';
  return URL.canParse(target, base) ? new URL(target, base) : undefined;
}

function findRoute(
  method: string | undefined,
  path: string,
): Result<AdminRoute, AdminError> {
  const routes = ADMIN_ROUTES.filter(route => route.path === path);
  if (routes.length === 0) return fail('not-found', `No endpoint "${path}".`);
  const route = routes.find(candidate => candidate.method === method);
  if (route) return Ok(route);
  return fail('method-not-allowed', `"${path}" does not take ${method ?? ''}.`);
}

function isJson(req: IncomingMessage): boolean {
  const contentType = req.headers['content-type'] ?? '';
  return contentType.split(';')[0]?.trim() === 'application/json';
}

function fail(
  code: AdminErrorCode,
  message: string,
): Result<never, AdminError> {
  return Err({code, message});
}

function toInternalError(): Result<AdminAnswer, AdminError> {
  return fail('internal', 'The node failed to answer.');
}

function addErrorHeaders(
  res: ServerResponse,
  err: AdminError,
  path: string,
): void {
  if (err.code === 'unauthorized') res.setHeader('www-authenticate', 'Bearer');
  if (err.code === 'body-too-large') res.setHeader('connection', 'close');
  if (err.code !== 'method-not-allowed') return;
  const routes = ADMIN_ROUTES.filter(route => route.path === path);
  res.setHeader('allow', routes.map(route => route.method).join(', '));
}

function writeJson(res: ServerResponse, status: number, body: object): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    'cache-control': 'no-store',
  });
  res.end(text);
}

/** Answers an error of the HTTP parser in the format of other errors. */
function answerUnparsedRequest(
  err: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (!socket.writable || err.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const code = codeOfParserError(err.code);
  const body = JSON.stringify({error: {code, message: err.message}});
  socket.end(
    `HTTP/1.1 ${ADMIN_ERROR_STATUS[code]} Refused\r\n` +
      'content-type: application/json\r\nconnection: close\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

function codeOfParserError(code: string | undefined): AdminErrorCode {
  if (code === 'HPE_HEADER_OVERFLOW') return 'header-too-large';
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 'timeout';
  return 'bad-request';
}
