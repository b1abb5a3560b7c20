/** The endpoints of the administration API. */

import {
  Err,
  formatFinding,
  JsonDocument,
  Ok,
  type Result,
} from '@turmericmill/utils';

import type {AdminError} from './admin-error.js';
import {createAdminSchemaCheck} from './admin-schema.js';
import type {
  DrainAnswer,
  DrainRequest,
  NodeView,
  ServerQuery,
} from './node-view.js';

const DEFAULT_SERVER_ROWS = 1000;
const MAX_SERVER_ROWS = 10_000;

const DRAIN_REQUEST_CHECK =
  createAdminSchemaCheck<DrainRequest>('drainRequest');

/** The parts of a request that endpoints use. */
export interface AdminRequest {
  query: URLSearchParams;
  /** Text of the body; empty for GET requests. */
  body: string;
}

/** An answer whose body is not serialized as JSON yet. */
export interface AdminAnswer {
  status: number;
  body: object;
}

export interface AdminRoute {
  method: 'GET' | 'POST';
  path: string;
  /**
   * `open` endpoints need no token, as health probes have none. They reveal
   * only whether the process is alive and accepts calls.
   */
  access: 'open' | 'token';
  handle(view: NodeView, req: AdminRequest): Result<AdminAnswer, AdminError>;
}

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
  createReadRoute('/v1/version', view => view.version()),
  createReadRoute('/v1/status', view => view.status()),
  createReadRoute('/v1/calls', view => view.calls()),
  {
    method: 'GET',
    path: '/v1/servers',
    access: 'token',
    handle: (view, req) =>
      parseServerQuery(req.query).andThen(query => ok(view.servers(query))),
  },
  createDrainRoute('/v1/drain', (view, request) => view.drain(request)),
  createDrainRoute('/v1/undrain', (view, request) => view.undrain(request)),
];

function ok(body: object): Result<AdminAnswer, AdminError> {
  return Ok({status: 200, body});
}

function createReadRoute(
  path: string,
  answer: (view: NodeView) => object,
): AdminRoute {
  return {
    method: 'GET',
    path,
    access: 'token',
    handle: view => ok(answer(view)),
  };
}

function createDrainRoute(
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
    .andThen(document => DRAIN_REQUEST_CHECK.check(document))
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
