/** Logs how requests end, within a line budget for each event. */

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

/** Failures get a higher rate than answers: complaints are about failures. */
const FAILURE_RATE: LineRate = {perSecond: 20, burst: 60};
/** Rejected keys are counted: scans and wrong keys come by the thousand. */
const KEY_RATE: LineRate = {perSecond: 0.1, burst: 1};
const DEFAULT_RATE: LineRate = {perSecond: 2, burst: 10};

/** Further fields of the line about a request's end. */
export interface RequestContext {
  /** Version of the configuration that routed the request. */
  version: number;
  latencyMs: number;
}

export class RequestLog {
  readonly budget = new LogBudget();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** `status`: that of the answer, if the node itself generated it. */
  recordEnd(
    request: RoutedRequest,
    end: RequestEnd,
    {version, latencyMs}: RequestContext,
    status?: number,
  ): void {
    const {caller, route, service, tenant} = request;
    this.write(eventOf(end), caller, rateOf(end), () => ({
      version,
      route: route.name,
      service,
      ...(tenant !== undefined && {tenant}),
      tries: end.tries,
      latencyMs: Math.round(latencyMs),
      ...endFields(end, status),
    }));
  }

  /** Records a request without a route or a valid key, or beyond the limits. */
  recordRejection(
    caller: CallerRequest,
    {status, reason}: LocalAnswer,
    version: number,
  ): void {
    const {url, headers} = caller.req;
    const isKey = reason === 'unknown-key' || reason === 'stale-config';
    const event = isKey ? `request rejected: ${reason}` : 'request rejected';
    const rate = isKey ? KEY_RATE : FAILURE_RATE;
    this.write(event, caller, rate, () => ({
      version,
      host: headers.host,
      path: url,
      status,
      reason,
    }));
  }

  /** Records a request that ended with an exception. */
  recordBrokenOff(caller: CallerRequest, err: unknown): void {
    const {url} = caller.req;
    const entry = () => ({path: url, err});
    this.write('request broken off', caller, FAILURE_RATE, entry);
  }

  /** Records an answer that had ended but was not fully written. */
  recordUndelivered(caller: CallerRequest, answer: UndeliveredAnswer): void {
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
    const line = this.budget.decideLine(event, rate, this.clock.now());
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
  return kind === 'failed' || kind === 'cut' ? FAILURE_RATE : DEFAULT_RATE;
}

/** Returns the fields that are specific to the way the request ended. */
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
      const fields = {status, reason, detail, load, mayHaveRun};
      return {...fields, ...askedFields(asked)};
    }
  }
}

function askedFields(asked: AskedServer | undefined): object {
  return asked ? {askedNode: asked.nodeId, askedServer: asked.serverId} : {};
}
