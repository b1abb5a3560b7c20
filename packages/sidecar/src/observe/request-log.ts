/** One line for each way in which a request ends, within a budget. */

import {REQUEST_ID_HEADER} from '@turmericmill/platform-adapter';
import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import type {CallerRequest, OwnAnswer} from '../ingress/caller-request.js';
import type {RequestEnd, RoutedRequest} from '../ingress/routed-request.js';
import {LogBudget, type LineRate} from './log-budget.js';

/** Failures are written before answers: complaints are about failures. */
const FAILURE_RATE: LineRate = {perSecond: 20, burst: 60};
const OTHER_RATE: LineRate = {perSecond: 2, burst: 10};

/** What is known of a request at its end, apart from how it ended. */
export interface RequestContext {
  /** Version of the configuration by which it was routed. */
  version: number;
  latencyMs: number;
}

export class RequestLog {
  readonly budget = new LogBudget();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** `status`: what the caller was told, where the node answered itself. */
  ended(
    request: RoutedRequest,
    end: RequestEnd,
    {version, latencyMs}: RequestContext,
    status?: number,
  ): void {
    const event = eventOf(end);
    const rate = end.kind === 'failed' ? FAILURE_RATE : OTHER_RATE;
    const line = this.budget.take(event, rate, this.clock.now());
    if (!line.write) return;
    const {caller, route, service} = request;
    const entry = {
      requestId: requestIdOf(caller),
      version,
      route: route.name,
      service,
      tries: end.tries,
      latencyMs: Math.round(latencyMs),
      ...(line.leftOut > 0 && {leftOut: line.leftOut}),
    };
    if (end.kind !== 'failed') {
      this.logger.info(entry, event);
      return;
    }
    const {reason, detail, load} = end.failure;
    const {mayHaveRun} = end;
    this.logger.info(
      {...entry, status, reason, detail, load, mayHaveRun},
      event,
    );
  }

  /** A request that was answered before a route or its limits allowed it. */
  rejected(
    caller: CallerRequest,
    {status, reason}: OwnAnswer,
    version: number,
  ): void {
    const event = 'request rejected';
    const now = this.clock.now();
    const line = this.budget.take(event, FAILURE_RATE, now);
    if (!line.write) return;
    const {url, headers} = caller.req;
    const entry = {
      requestId: requestIdOf(caller),
      version,
      host: headers.host,
      path: url,
      status,
      reason,
      ...(line.leftOut > 0 && {leftOut: line.leftOut}),
    };
    this.logger.info(entry, event);
  }
}

function requestIdOf({req}: CallerRequest): string | undefined {
  const value = req.headers[REQUEST_ID_HEADER];
  return typeof value === 'string' ? value : undefined;
}

function eventOf(end: RequestEnd): string {
  if (end.kind !== 'failed') return `request ${end.kind}`;
  return end.mayHaveRun ? 'request failed' : 'request refused';
}
