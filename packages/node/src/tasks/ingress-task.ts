/** HTTP server that accepts the callers' requests. */

import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {
  DEADLINE_HEADER,
  fingerprint,
  HOPS_HEADER,
  readLimits,
  type CallLimits,
  type DeadlineError,
  type DeadlineErrorKind,
  type MatchedRoute,
  type RoutingTable,
  type QuarantineStatus,
} from '@turmericmill/routing';
import type {Clock, Result} from '@turmericmill/utils';
import type {FailureReason} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {Bus} from '../bus.js';
import {NO_LOAD, type CallFailure} from '../calls/call-leg.js';
import {CallerServer} from '../calls/caller-server.js';
import {CallerExchange} from '../calls/caller-exchange.js';
import {
  CallStatisticsRecorder,
  type CallEnd,
} from '../calls/call-statistics.js';
import type {CallDemand, CallDispatcher} from '../calls/dispatcher.js';
import {headerOf} from '../calls/headers.js';
import type {AttemptEnd} from '../calls/attempt-end.js';
import type {ListenAddress, NodeLimits} from '../settings/index.js';
import {Task} from '../task.js';

/** Header with the customer to whom a call is charged. */
const CUSTOMER_HEADER = 'x-customer';
/** Header with the id under which all nodes and servers log the request. */
const REQUEST_ID_HEADER = 'x-request-id';
/** Customer of calls without a customer header. */
const NO_CUSTOMER = 'none';

/**
 * Matches each request to a route, checks its limits and whether it is
 * quarantined, and passes it to the dispatcher.
 */
export class IngressTask extends Task {
  readonly statistics = new CallStatisticsRecorder();
  port = 0;
  private readonly maxCalls: number;
  private inFlight = 0;
  /** Configuration version in force, for the log; -1 before the first one. */
  private version = -1;
  private table: RoutingTable | undefined;
  private draining = false;
  private closed: Promise<void> | undefined;
  private readonly server;

  constructor(
    private readonly listen: ListenAddress,
    limits: NodeLimits,
    private readonly dispatcher: CallDispatcher,
    private readonly statusOf: (fingerprint: string) => QuarantineStatus,
    bus: Bus,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
    this.server = new CallerServer({maxHeaderSize: limits.maxHeaderBytes});
    this.server.maxConnections = limits.maxCallerConnections;
    this.maxCalls = limits.maxCalls;
    this.server.requestTimeout = 0;
    this.server.on('request', (req, res) => void this.serve(req, res));
    this.server.on('checkContinue', (req, res) => {
      this.server.recordRequest(req, res);
      void this.serve(req, res, () => res.writeContinue());
    });
    bus.subscribe('config-in-force', ({table, state}) => {
      this.table = table;
      this.version = state.version;
    });
  }

  /** Number of callers' calls that have not ended. */
  get callsInFlight(): number {
    return this.inFlight;
  }

  override async start(): Promise<void> {
    const {address, port} = this.listen;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
  }

  /**
   * Accepts no new connections and closes each connection after its answer.
   * Resolves when all connections are closed. Those still open at `deadlineMs`
   * are closed then.
   */
  async drain(deadlineMs: number): Promise<void> {
    this.draining = true;
    this.server.drain();
    this.closed = new Promise(resolve => {
      this.server.close(() => resolve());
    });
    this.server.closeIdleConnections();
    const timer = setTimeout(
      () => this.server.closeAllConnections(),
      Math.max(0, deadlineMs - this.clock.now()),
    );
    await this.closed;
    clearTimeout(timer);
  }

  override async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.closed ??= new Promise(resolve => {
      this.server.close(() => resolve());
    });
    await this.closed;
  }

  /**
   * Closes idle connections during a drain. A connection whose answer began
   * before the drain is kept alive and would otherwise stay open.
   */
  private closeIdleWhileDraining(): void {
    if (!this.draining) return;
    setImmediate(() => this.server.closeIdleConnections());
  }

  /** Calls `sendContinue` once the call's headers have passed all checks. */
  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    sendContinue?: () => void,
  ): Promise<void> {
    const startedMs = performance.now();
    res.once('close', () => this.closeIdleWhileDraining());
    const exchange = new CallerExchange(req, res);
    const route = this.matchRoute(req);
    if (!route) {
      exchange.refuse(noRouteFailure(this.table !== undefined));
      return;
    }
    if (this.inFlight >= this.maxCalls) {
      exchange.refuse(overloadFailure(this.maxCalls));
      return;
    }
    const limits = this.parseLimits(req, route);
    if (limits.isErr()) {
      exchange.refuse(limitFailure(limits.error));
      return;
    }
    sendContinue?.();
    this.inFlight += 1;
    const demand = this.buildDemand(req, route, limits.value);
    const end = await this.run(exchange, route, demand);
    this.inFlight -= 1;
    this.recordEnd(end, demand, performance.now() - startedMs);
    if (end.kind === 'failed') exchange.refuse(end.failure);
  }

  private async run(
    exchange: CallerExchange,
    route: MatchedRoute,
    demand: CallDemand,
  ): Promise<AttemptEnd> {
    try {
      const body = await exchange.readInitialBody();
      const {method, path, customer} = demand;
      const parts = {method, path, customer, bodyStart: body.chunk};
      demand.fingerprint = fingerprint(parts);
      if (this.statusOf(demand.fingerprint) === 'quarantined') {
        return {kind: 'failed', failure: quarantineFailure()};
      }
      return await this.dispatcher.dispatch(exchange, route, demand, body);
    } catch (err) {
      this.logger.debug(
        {err, path: demand.path},
        'caller closed the connection before the call ended',
      );
      return {kind: 'left'};
    }
  }

  private matchRoute(req: IncomingMessage): MatchedRoute | undefined {
    return this.table?.match({
      host: req.headers.host ?? '',
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: req.headers,
    });
  }

  private parseLimits(
    req: IncomingMessage,
    route: MatchedRoute,
  ): Result<CallLimits, DeadlineError> {
    const headers: Record<string, string> = {};
    for (const name of [DEADLINE_HEADER, HOPS_HEADER]) {
      const value = req.headers[name];
      if (value !== undefined) headers[name] = String(value);
    }
    return readLimits(headers, route.timeoutMs, this.clock.now());
  }

  private buildDemand(
    req: IncomingMessage,
    route: MatchedRoute,
    limits: CallLimits,
  ): CallDemand {
    const customer = req.headers[CUSTOMER_HEADER];
    const headers = [...req.rawHeaders];
    if (!(REQUEST_ID_HEADER in req.headers)) {
      headers.push(REQUEST_ID_HEADER, randomUUID());
    }
    return {
      group: route.group,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers,
      customer: typeof customer === 'string' ? customer : NO_CUSTOMER,
      class: route.class,
      priority: route.priority,
      ...limits,
      fingerprint: '',
    };
  }

  private recordEnd(
    end: AttemptEnd,
    demand: CallDemand,
    latencyMs: number,
  ): void {
    this.logEnd(end, demand, latencyMs);
    const callEnd = callEndOf(end);
    if (callEnd === undefined) return;
    const {customer, class: className} = demand;
    this.statistics.record(customer, className, callEnd, latencyMs);
  }

  /** Logs a failed or cut call at info level, and any other at debug level. */
  private logEnd(end: AttemptEnd, demand: CallDemand, latencyMs: number): void {
    const isFailure = end.kind === 'failed' || end.kind === 'cut';
    if (!isFailure && !this.logger.debug()) return;
    const entry = {
      requestId: headerOf(demand.headers, REQUEST_ID_HEADER),
      version: this.version,
      customer: demand.customer,
      class: demand.class,
      latencyMs: Math.round(latencyMs * 1000) / 1000,
    };
    if (!isFailure) {
      this.logger.debug(entry, `call ${end.kind}`);
      return;
    }
    const {reason, outcome} = end.failure;
    this.logger.info({...entry, reason, outcome}, `call ${end.kind}`);
  }
}

function noRouteFailure(configured: boolean): CallFailure {
  const detail = configured
    ? 'No route matches this request.'
    : 'No configuration is in force yet.';
  const load = {...NO_LOAD};
  return {outcome: 'not-run', reason: 'no-server', detail, load};
}

const LIMIT_REASONS: Readonly<Record<DeadlineErrorKind, FailureReason>> = {
  'malformed-deadline': 'malformed',
  'malformed-hops': 'malformed',
  expired: 'deadline',
  'too-many-hops': 'too-many-hops',
};

function limitFailure({kind, value}: DeadlineError): CallFailure {
  const reason = LIMIT_REASONS[kind];
  const detail = `The call's limits are refused: ${kind}: "${value}".`;
  return {outcome: 'not-run', reason, detail, load: {...NO_LOAD}};
}

function quarantineFailure(): CallFailure {
  const detail = 'The request has crashed servers and is refused for a time.';
  const load = {...NO_LOAD};
  return {outcome: 'not-run', reason: 'quarantined', detail, load};
}

function overloadFailure(maxCalls: number): CallFailure {
  const detail = `This node has ${maxCalls} calls in flight already.`;
  const load = {...NO_LOAD};
  return {outcome: 'not-run', reason: 'overload', detail, load};
}

function callEndOf(end: AttemptEnd): CallEnd | undefined {
  if (end.kind === 'left') return undefined;
  return end.kind === 'answered' ? 'answered' : end.failure.outcome;
}
