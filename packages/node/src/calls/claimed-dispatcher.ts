/** Claims the idempotency keys of calls before they are dispatched. */

import {
  claimKey,
  requestDigest,
  type MatchedRoute,
  type RunResult,
} from '@turmericmill/routing';

import {MAX_KEPT_ANSWER_BYTES, type ClaimsTask} from '../tasks/claims-task.js';
import {AnswerCopy} from './answer-copy.js';
import {NO_LOAD, type InitialBody} from './call-leg.js';
import type {CallerExchange} from './caller-exchange.js';
import type {AttemptEnd} from './attempt-end.js';
import {CallDispatcher, type CallDemand} from './dispatcher.js';
import {MAX_BUFFERED_BODY_BYTES} from './request-body.js';

/** Request header with a key that is unique among the customer's requests. */
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/**
 * Dispatches an at-most-once call with an idempotency key only under a claim.
 * All other calls are dispatched as they are.
 */
export class ClaimedDispatcher extends CallDispatcher {
  constructor(
    private readonly claims: ClaimsTask,
    private readonly inner: CallDispatcher,
  ) {
    super();
  }

  override async dispatch(
    exchange: CallerExchange,
    route: MatchedRoute,
    demand: CallDemand,
    body: InitialBody,
  ): Promise<AttemptEnd> {
    const key = exchange.req.headers[IDEMPOTENCY_KEY_HEADER];
    if (route.repetition !== 'at-most-once' || typeof key !== 'string') {
      return this.inner.dispatch(exchange, route, demand, body);
    }
    const decision = await this.claims.claim({
      key: claimKey(demand.customer, key),
      requestDigest: digestOf(exchange, demand, body),
      deadlineMs: demand.deadlineMs,
    });
    switch (decision.type) {
      case 'refuse':
        return {kind: 'failed', failure: decision.failure};
      case 'answer': {
        exchange.replay(decision.answer);
        const {status} = decision.answer;
        return {kind: 'answered', status, load: {...NO_LOAD}};
      }
      case 'run':
        return this.run(decision.callId, exchange, route, demand, body);
    }
  }

  private async run(
    callId: number,
    exchange: CallerExchange,
    route: MatchedRoute,
    demand: CallDemand,
    body: InitialBody,
  ): Promise<AttemptEnd> {
    if (exchange.isDisconnected) {
      this.claims.finished(callId, {type: 'not-run'});
      return {kind: 'left'};
    }
    const copy = new AnswerCopy(MAX_KEPT_ANSWER_BYTES);
    exchange.copy = copy;
    let end: AttemptEnd | undefined;
    try {
      end = await this.inner.dispatch(exchange, route, demand, body);
      return end;
    } finally {
      this.claims.finished(callId, runResultOf(end, copy));
    }
  }
}

function runResultOf(end: AttemptEnd | undefined, copy: AnswerCopy): RunResult {
  if (end?.kind === 'failed') return {type: end.failure.outcome};
  const answer = end?.kind === 'answered' ? copy.toKeptAnswer() : undefined;
  return answer ? {type: 'answered', answer} : {type: 'unknown'};
}

/**
 * Digest by which a retry with the same key is compared with the first
 * request. A body that is not buffered whole is represented by its beginning
 * and its `content-length`.
 */
function digestOf(
  exchange: CallerExchange,
  demand: CallDemand,
  body: InitialBody,
): string {
  const length = exchange.req.headers['content-length'] ?? '';
  const beginning = body.chunk.subarray(0, MAX_BUFFERED_BODY_BYTES);
  const path = `${demand.path} ${length}`;
  return requestDigest(demand.method, path, beginning);
}
