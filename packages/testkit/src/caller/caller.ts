/** Stand-in for callers: sends requests and records their results. */

import {createHash, randomUUID} from 'node:crypto';

import {Agent, request} from 'undici';

import type {CallRecord, CallVerdict} from './caller-audit.js';

const OUTCOME_HEADER = 'x-turmericmill-outcome';
const REASON_HEADER = 'x-turmericmill-reason';
const MAX_BODY_REPEATS = 16;
const DEFAULT_CONNECTIONS = 64;
const DEFAULT_TIMEOUT_MS = 30_000;

/** A call to send. */
export interface CallOrder {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  customer?: string;
  /** True when the call must run at most once. */
  once?: boolean;
  idempotencyKey?: string;
  headers?: Record<string, string>;
  /** Time in ms after which the caller aborts the call. */
  timeoutMs?: number;
}

/** Sends calls and checks that each answer belongs to its request. */
export class Caller {
  readonly calls: CallRecord[] = [];
  private readonly agent: Agent;

  /** `connections` is the maximum number of connections to one node. */
  constructor(connections = DEFAULT_CONNECTIONS) {
    this.agent = new Agent({connections, pipelining: 1});
  }

  /** Sends a call to the node at `url`; the promise never rejects. */
  async call(url: string, order: CallOrder): Promise<CallRecord> {
    const requestId = randomUUID();
    const startedMs = performance.now();
    const result = await this.send(url, order, requestId);
    const record: CallRecord = {
      requestId,
      method: order.method,
      path: order.path,
      once: order.once ?? false,
      idempotencyKey: order.idempotencyKey ?? '',
      latencyMs: performance.now() - startedMs,
      ...result,
    };
    this.calls.push(record);
    return record;
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    url: string,
    order: CallOrder,
    requestId: string,
  ): Promise<CallResult> {
    const hasBody = order.method === 'POST' || order.method === 'PUT';
    const body = hasBody ? buildBody(order.idempotencyKey ?? requestId) : '';
    try {
      const res = await request(`${url}${order.path}`, {
        method: order.method,
        headers: buildHeaders(order, requestId),
        body: hasBody ? body : null,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(order.timeoutMs ?? DEFAULT_TIMEOUT_MS),
      });
      const text = await res.body.text();
      const header = (name: string) => String(res.headers[name] ?? '');
      const hasSameId = header('x-request-id') === requestId;
      const mayBeReplayed = order.idempotencyKey !== undefined;
      const isMatching = text === body && (hasSameId || mayBeReplayed);
      return {
        verdict: determineVerdict(
          res.statusCode,
          header(OUTCOME_HEADER),
          isMatching,
        ),
        status: res.statusCode,
        reason: formatReason(header(REASON_HEADER), text),
        servedBy: header('x-served-by'),
      };
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      return {verdict: 'unknown', status: 0, reason, servedBy: ''};
    }
  }
}

type CallResult = Pick<
  CallRecord,
  'verdict' | 'status' | 'reason' | 'servedBy'
>;

function buildHeaders(
  order: CallOrder,
  requestId: string,
): Record<string, string> {
  const headers: Record<string, string> = {
    ...order.headers,
    'x-request-id': requestId,
  };
  if (order.customer !== undefined) headers['x-customer'] = order.customer;
  if (order.idempotencyKey !== undefined) {
    headers['idempotency-key'] = order.idempotencyKey;
  }
  return headers;
}

/**
 * Builds a body that is unique to a request and varies in size. All attempts
 * with the same idempotency key have the same body.
 */
function buildBody(seed: string): string {
  const digest = createHash('sha256').update(seed).digest();
  const repeats = digest.readUInt8(0) % MAX_BODY_REPEATS;
  return `${seed} ${digest.toString('hex').repeat(repeats)}`;
}

/** Reason and detail of the mesh's refusal; `''` for other answers. */
function formatReason(reason: string, text: string): string {
  if (reason === '') return '';
  const detail = /"message":"([^"]*)"/.exec(text)?.[1] ?? '';
  return `${reason}: ${detail}`;
}

/** A 5xx of a backend server does not show whether the call has run. */
function determineVerdict(
  status: number,
  outcome: string,
  isMatching: boolean,
): CallVerdict {
  if (outcome === 'not-run') return 'not-run';
  if (outcome !== '' || status >= 500) return 'unknown';
  return isMatching ? 'answered' : 'mismatched';
}
