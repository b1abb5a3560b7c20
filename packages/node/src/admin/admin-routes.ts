/** The table of endpoints of the administration API. */

import {
  Err,
  formatFinding,
  JsonDocument,
  Ok,
  type Result,
} from '@turmericmill/utils';

import type {AdminError} from './admin-error.js';
import {adminSchemaCheck} from './admin-schema.js';
import type {
  DrainAnswer,
  DrainRequest,
  NodeView,
  ServerQuery,
} from './node-view.js';

const DEFAULT_SERVER_ROWS = 1000;
const MAX_SERVER_ROWS = 10_000;

const DRAIN_REQUEST = adminSchemaCheck<DrainRequest>('drainRequest');

/** A request as the endpoints see it. */
export interface AdminRequest {
  query: URLSearchParams;
  /** Text of the body; empty for reads. */
  body: string;
}

/** An answer before it is written as JSON. */
export interface AdminAnswer {
  status: number;
  body: object;
}

/** One endpoint. */
export interface AdminRoute {
  method: 'GET' | 'POST';
  path: string;
  /**
   * `open` endpoints need no token: what probes them holds none, and they tell
   * nothing but whether the process lives and takes calls.
   */
  access: 'open' | 'token';
  handle(view: NodeView, req: AdminRequest): Result<AdminAnswer, AdminError>;
}

/** Every endpoint. */
export const ADMIN_ROUTES: readonly AdminRoute[] = [
  {
    method: 'GET',
    path: '/v1/health',
    access: 'open',
    handle: () => ok({status: 'ok'}),
  },
  {
    method: 'GET',
    path: '/v1/ready',
    access: 'open',
    handle: view => {
      const readiness = view.readiness();
      return Ok({status: readiness.ready ? 200 : 503, body: readiness});
    },
  },
  read('/v1/version', view => view.version()),
  read('/v1/status', view => view.status()),
  read('/v1/calls', view => view.calls()),
  {
    method: 'GET',
    path: '/v1/servers',
    access: 'token',
    handle: (view, req) =>
      parseServerQuery(req.query).andThen(query => ok(view.servers(query))),
  },
  action('/v1/drain', (view, request) => view.drain(request)),
  action('/v1/undrain', (view, request) => view.undrain(request)),
];

function ok(body: object): Result<AdminAnswer, AdminError> {
  return Ok({status: 200, body});
}

function read(path: string, answer: (view: NodeView) => object): AdminRoute {
  return {
    method: 'GET',
    path,
    access: 'token',
    handle: view => ok(answer(view)),
  };
}

function action(
  path: string,
  act: (
    view: NodeView,
    request: DrainRequest,
  ) => Result<DrainAnswer, AdminError>,
): AdminRoute {
  return {
    method: 'POST',
    path,
    access: 'token',
    handle: (view, req) =>
      parseDrainRequest(req.body)
        .andThen(request => act(view, request))
        .andThen(ok),
  };
}

function parseDrainRequest(body: string): Result<DrainRequest, AdminError> {
  return JsonDocument.parse('body', body)
    .andThen(document => DRAIN_REQUEST.check(document))
    .mapErr(findings => ({
      code: 'invalid-body',
      message: findings.map(formatFinding).join('; '),
    }));
}

function parseServerQuery(
  query: URLSearchParams,
): Result<ServerQuery, AdminError> {
  const limit = Number(query.get('limit') ?? DEFAULT_SERVER_ROWS);
  if (!Number.isInteger(limit) || limit < 1 || limit > MAX_SERVER_ROWS) {
    const message = `"limit" has to be from 1 to ${MAX_SERVER_ROWS}.`;
    return Err({code: 'bad-request', message});
  }
  const group = query.get('group');
  return Ok(group === null ? {limit} : {limit, group});
}
