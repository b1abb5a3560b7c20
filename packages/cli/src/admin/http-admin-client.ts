/** Client of the administration API over HTTP. */

import {Agent, request} from 'undici';

import {Err, Ok, type Result} from '@turmericmill/utils';

import type {AdminTarget} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {AdminClient, type ServerQuery} from './admin-client.js';
import type {
  CallStatistics,
  DrainAnswer,
  DrainRequest,
  FleetStatus,
  ServerList,
} from './admin-answers.js';

const CALL_TIMEOUT_MS = 5000;
/** HTTP status if the request names another node than the one that answers. */
const NOT_THIS_NODE_STATUS = 421;

interface ApiRequest {
  method: 'GET' | 'POST';
  path: string;
  body?: object;
}

interface HttpAnswer {
  status: number;
  body: unknown;
}

/** Sends each query to the first reachable of several nodes. */
export class HttpAdminClient extends AdminClient {
  private readonly agent = new Agent({
    headersTimeout: CALL_TIMEOUT_MS,
    bodyTimeout: CALL_TIMEOUT_MS,
    connect: {timeout: CALL_TIMEOUT_MS},
  });

  constructor(private readonly target: AdminTarget) {
    super();
  }

  override status(): Promise<Result<FleetStatus, CliError>> {
    return this.get('/v1/status');
  }

  override servers(query: ServerQuery): Promise<Result<ServerList, CliError>> {
    const params = new URLSearchParams();
    if (query.group !== undefined) params.set('group', query.group);
    if (query.limit !== undefined) params.set('limit', String(query.limit));
    return this.get(`/v1/servers?${params.toString()}`);
  }

  override calls(): Promise<Result<CallStatistics, CliError>> {
    return this.get('/v1/calls');
  }

  /**
   * Sends the request to one node after another, up to the first answer other
   * than 421. A node drains only its own servers, and answers 421 if the request
   * names another node.
   */
  override async drain(
    body: DrainRequest,
    draining: boolean,
  ): Promise<Result<DrainAnswer, CliError>> {
    const path = draining ? '/v1/drain' : '/v1/undrain';
    let failure: CliError = {
      exit: 'not-found',
      message: `None of the nodes asked is "${body.node}".`,
    };
    for (const url of this.target.urls) {
      const sent = await this.send(url, {method: 'POST', path, body});
      if (sent.isErr()) {
        failure = sent.error;
      } else if (sent.value.status !== NOT_THIS_NODE_STATUS) {
        return toResult(sent.value);
      }
    }
    return Err(failure);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async get<T>(path: string): Promise<Result<T, CliError>> {
    let failure: CliError = {
      exit: 'unreachable',
      message: 'No administration API is given.',
    };
    for (const url of this.target.urls) {
      const sent = await this.send(url, {method: 'GET', path});
      if (sent.isOk()) return toResult(sent.value);
      failure = sent.error;
    }
    return Err(failure);
  }

  private async send(
    url: string,
    {method, path, body}: ApiRequest,
  ): Promise<Result<HttpAnswer, CliError>> {
    const headers: Record<string, string> = {};
    const {token} = this.target;
    if (token !== undefined) headers['authorization'] = `Bearer ${token}`;
    if (body) headers['content-type'] = 'application/json';
    try {
      const res = await request(`${url}${path}`, {
        method,
        headers,
        body: body ? JSON.stringify(body) : null,
        dispatcher: this.agent,
      });
      return Ok({status: res.statusCode, body: await res.body.json()});
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      const message = `Node at ${url} was not reached: ${reason}`;
      return Err({exit: 'unreachable', message});
    }
  }
}

function toResult<T>({status, body}: HttpAnswer): Result<T, CliError> {
  if (status >= 200 && status < 300) return Ok(body as T);
  const {error} = body as {error?: {message?: string}};
  const message = error?.message ?? `The node answered ${status}.`;
  return Err({exit: exitOfStatus(status), message});
}

function exitOfStatus(status: number): CliError['exit'] {
  if (status === 401) return 'unauthorized';
  if (status === 404) return 'not-found';
  return status >= 500 ? 'unreachable' : 'refused';
}
