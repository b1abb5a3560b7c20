/** One line for each way in which a request ends, within a budget. */

import {REQUEST_ID_HEADER} from '@turmericmill/platform-adapter';
import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import type {
  CallerRequest,
  LocalAnswer,
  UndeliveredAnswer,
} from '../ingress/caller-request.js';
import type {
  AskedServer,
  RequestEnd,
  RoutedRequest,
} from '../ingress/routed-request.js';
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
    const {caller, route, service} = request;
    this.write(eventOf(end), caller, rateOf(end), () => ({
      version,
      route: route.name,
      service,
      tries: end.tries,
      latencyMs: Math.round(latencyMs),
      ...endFields(end, status),
    }));
  }

  /** A request that was answered before a route or its limits allowed it. */
  rejected(
    caller: CallerRequest,
    {status, reason}: LocalAnswer,
    version: number,
  ): void {
    const {url, headers} = caller.req;
    this.write('request rejected', caller, FAILURE_RATE, () => ({
      version,
      host: headers.host,
      path: url,
      status,
      reason,
    }));
  }

  /** A request that ended with an exception. */
  brokenOff(caller: CallerRequest, err: unknown): void {
    const {url} = caller.req;
    const entry = () => ({path: url, err});
    this.write('request broken off', caller, FAILURE_RATE, entry);
  }

  /** An answer that had ended and was not written as a whole. */
  undelivered(caller: CallerRequest, answer: UndeliveredAnswer): void {
    const entry = () => ({
      ...answer,
      sinceEndMs: Math.round(answer.sinceEndMs),
    });
    this.write('answer not delivered', caller, FAILURE_RATE, entry);
  }

  private write(
    event: string,
    caller: CallerRequest,
    rate: LineRate,
    entry: () => object,
  ): void {
    const line = this.budget.take(event, rate, this.clock.now());
    if (!line.write) return;
    const {leftOut} = line;
    this.logger.info(
      {
        requestId: requestIdOf(caller),
        ...entry(),
        ...(leftOut > 0 && {leftOut}),
      },
      event,
    );
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

function rateOf({kind}: RequestEnd): LineRate {
  return kind === 'failed' || kind === 'cut' ? FAILURE_RATE : OTHER_RATE;
}

/** What only this way of ending has. */
function endFields(end: RequestEnd, status: number | undefined): object {
  switch (end.kind) {
    case 'answered':
      return {};
    case 'left':
      return {bytes: end.bytes, closedBy: end.closedBy};
    case 'cut': {
      const {reason, detail, load} = end.failure;
      const {bytes, asked} = end;
      return {reason, detail, load, bytes, ...askedFields(asked)};
    }
    case 'failed': {
      const {reason, detail, load} = end.failure;
      const {mayHaveRun, asked} = end;
      const told = {status, reason, detail, load, mayHaveRun};
      return {...told, ...askedFields(asked)};
    }
  }
}

function askedFields(asked: AskedServer | undefined): object {
  return asked ? {askedNode: asked.nodeId, askedServer: asked.serverId} : {};
}
