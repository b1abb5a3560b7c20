/** Owns the HTTP socket at which this host's callers send their requests. */

import type {IncomingMessage, ServerResponse} from 'node:http';

import type {CallerLimits, MeshConfig, PrefixRoute} from '@turmericmill/config';
import {deadlinePassed, type Bus} from '@turmericmill/node';
import {
  REMAINING_TIME_HEADER,
  type HostAddress,
} from '@turmericmill/platform-adapter';
import {
  ElapsedTimeEstimator,
  fingerprint,
  PrefixRoutes,
  returnAfterMs,
  SplitRotation,
} from '@turmericmill/routing';
import {turnsOfLoop, type Clock, type RandomSource} from '@turmericmill/utils';

import {HttpTask} from '../tasks/http-task.js';
import type {RequestContext} from '../observe/request-log.js';
import type {BodyBudget} from './body-budget.js';
import {
  CallerRequest,
  type LocalAnswer,
  type UndeliveredAnswer,
} from './caller-request.js';
import {LoopLag} from './loop-lag.js';
import type {RequestDispatch} from './request-dispatch.js';
import type {RequestEnd, RoutedRequest} from './routed-request.js';

/** Limits until a configuration is in force; the platform's usual ones. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Time in ms between looks for connections that became idle in a shutdown. */
const IDLE_CLOSE_INTERVAL_MS = 50;
/** Largest header section in bytes that the parser takes; limits may be less. */
const MAX_HEADER_BYTES = 64 * 1024;
/**
 * Part of a route's target that a caller gets at least, however long ago it
 * seems to have asked first: what it stated may mean something else.
 */
const LEAST_TARGET_SHARE = 0.25;
/** Time in ms after which a caller may come back to a node without config. */
const NO_CONFIG_RETURN_MS = 200;
/** Time in ms after which a caller may come back whose body had no room. */
const NO_ROOM_RETURN_MS = 200;

export interface IngressServerParts {
  listen: HostAddress;
  /** Service beside which requests to this socket begin. */
  callerService: string;
  dispatch: RequestDispatch;
  bodyBudget: BodyBudget;
  bus: Bus;
  clock: Clock;
  random: RandomSource;
  /** Called once for each routed request, with what its caller was told. */
  onEnded(
    request: RoutedRequest,
    end: RequestEnd,
    context: RequestContext,
    status?: number,
  ): void;
  /** Called for each request that no route takes or the limits forbid. */
  onRejected(caller: CallerRequest, answer: LocalAnswer, version: number): void;
  /** Called for each request that ended with an exception. */
  onBrokenOff(caller: CallerRequest, err: unknown): void;
  /** Called for each answer that ended and was not written as a whole. */
  onUndelivered(caller: CallerRequest, answer: UndeliveredAnswer): void;
}

interface RouteTable {
  config: MeshConfig;
  routes: PrefixRoutes;
}

export class IngressServer extends HttpTask {
  private readonly split = new SplitRotation();
  private readonly elapsedTime = new ElapsedTimeEstimator();
  private table: RouteTable | undefined;
  private limits = FIRST_LIMITS;
  /** Requests that may end later are not taken. */
  private lastAnswerMs = Infinity;
  /** Those whose response is not closed. */
  private readonly open = new Set<CallerRequest>();
  private readonly lag: LoopLag;

  constructor(private readonly parts: IngressServerParts) {
    super(parts.listen, {maxHeaderSize: MAX_HEADER_BYTES});
    this.lag = new LoopLag(parts.clock);
    this.server.requestTimeout = 0;
    this.applyLimits(FIRST_LIMITS);
    parts.bus.subscribe('mesh-config', ({config}) => {
      this.table = {config, routes: new PrefixRoutes(config.routes)};
      this.applyLimits(config.limits);
    });
  }

  /** Requests whose answer has not left and whose caller is still there. */
  get requestsInFlight(): number {
    return this.server.openResponses;
  }

  /** Answers that have ended and wait to be written to their callers. */
  get answersUnflushed(): number {
    return [...this.open].filter(({isFlushing}) => isFlushing).length;
  }

  override async start(): Promise<void> {
    await super.start();
    this.lag.start();
  }

  override async stop(): Promise<void> {
    this.lag.stop();
    await super.stop();
  }

  /** From now on each connection ends with its answer. */
  drain(): void {
    this.server.drain();
  }

  /**
   * Takes no new connections, and no request that may end after
   * `lastAnswerMs`; each connection closes once it carries no request.
   */
  async finish(lastAnswerMs: number): Promise<void> {
    this.lastAnswerMs = lastAnswerMs;
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeIdleConnections();
    const timer = setInterval(() => {
      this.server.closeIdleConnections();
    }, IDLE_CLOSE_INTERVAL_MS);
    await closed;
    clearInterval(timer);
  }

  /** Takes no request any more, and gives up those that no server answers. */
  refuseAll(): void {
    this.lastAnswerMs = -Infinity;
    for (const caller of this.open) caller.giveUp();
  }

  private applyLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  protected override async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const arrivedMs = this.parts.clock.now() - this.lag.expectedWaitMs;
    const caller = this.opened(req, res);
    try {
      await this.answer(caller, arrivedMs);
    } catch (err) {
      this.parts.onBrokenOff(caller, err);
      caller.cut();
    } finally {
      caller.releaseBody(this.parts.bodyBudget);
    }
  }

  private opened(req: IncomingMessage, res: ServerResponse): CallerRequest {
    const caller = new CallerRequest(req, res, this.parts.clock);
    this.open.add(caller);
    caller.onClosed = undelivered => {
      this.open.delete(caller);
      if (undelivered) this.parts.onUndelivered(caller, undelivered);
    };
    return caller;
  }

  private async answer(
    caller: CallerRequest,
    arrivedMs: number,
  ): Promise<void> {
    const {req} = caller;
    const {table, limits} = this;
    if (!table) {
      const answer = {status: 503, reason: 'no configuration yet'};
      this.reject(caller, {...answer, returnAfterMs: NO_CONFIG_RETURN_MS});
      return;
    }
    const route = table.routes.match(req.headers.host ?? '', req.url ?? '/');
    if (!route) {
      this.reject(caller, {status: 404, reason: 'no route'});
      return;
    }
    if (headerBytes(req) > limits.maxHeaderBytes) {
      this.reject(caller, {status: 431, reason: 'headers too large'});
      return;
    }
    const body = await caller.readBody(
      limits.maxBodyBytes,
      this.parts.bodyBudget,
    );
    if (body === 'too-large') {
      this.reject(caller, {status: 413, reason: 'body too large'});
      return;
    }
    if (body === 'no-room') {
      const answer = {status: 503, reason: 'no room for the body'};
      this.reject(caller, {...answer, returnAfterMs: NO_ROOM_RETURN_MS});
      return;
    }
    await closesAreRead();
    if (caller.hasLeft) return;
    const request = this.routed(caller, route, body, arrivedMs);
    if (request.deadlineMs > this.lastAnswerMs) {
      const awayMs = this.returnAfterMs(request, 0);
      const answer = {status: 503, reason: 'draining', returnAfterMs: awayMs};
      this.reject(caller, answer);
      return;
    }
    const end = endOfShutdown(
      request,
      await this.parts.dispatch.dispatch(request),
    );
    const own = end.kind === 'failed' ? this.refusal(request, end) : undefined;
    if (own) caller.refuse(own);
    const latencyMs = this.parts.clock.now() - arrivedMs;
    const context = {version: table.config.version, latencyMs};
    this.parts.onEnded(request, end, context, own?.status);
  }

  private reject(caller: CallerRequest, answer: LocalAnswer): void {
    caller.refuse(answer);
    const version = this.table?.config.version ?? 0;
    this.parts.onRejected(caller, answer, version);
  }

  private routed(
    caller: CallerRequest,
    route: PrefixRoute,
    body: Uint8Array,
    arrivedMs: number,
  ): RoutedRequest {
    const {req} = caller;
    const {callerService} = this.parts;
    const method = req.method ?? 'GET';
    const path = req.url ?? '/';
    const {name, timeoutMs, targetLatencyMs} = route;
    const remainingMs = remainingTimeMs(req);
    const waitMs = Math.min(timeoutMs, remainingMs);
    const elapsedMs = this.elapsedTime.elapsedMs(name, remainingMs);
    const leastMs = targetLatencyMs * LEAST_TARGET_SHARE;
    const targetMs = arrivedMs + Math.max(targetLatencyMs - elapsedMs, leastMs);
    return {
      caller,
      route,
      service: this.split.next(route),
      method,
      path,
      headers: req.rawHeaders,
      body,
      callerService,
      fingerprint: fingerprint({
        method,
        path,
        customer: callerService,
        bodyStart: body,
      }),
      targetMs: Math.min(targetMs, arrivedMs + waitMs),
      deadlineMs: arrivedMs + waitMs,
    };
  }

  /** 503 only for what has not run; 504 and 502 leave it open. */
  private refusal(
    request: RoutedRequest,
    end: Extract<RequestEnd, {kind: 'failed'}>,
  ): LocalAnswer {
    const {failure, mayHaveRun} = end;
    const {reason} = failure;
    if (mayHaveRun) {
      return {status: reason === 'deadline' ? 504 : 502, reason};
    }
    const awayMs = this.returnAfterMs(request, failure.load.waitMs ?? 0);
    return {status: 503, reason, returnAfterMs: awayMs};
  }

  private returnAfterMs(request: RoutedRequest, waitMs: number): number {
    const {clock, random} = this.parts;
    return returnAfterMs(waitMs, request.deadlineMs - clock.now(), random);
  }
}

/**
 * Resolves once the event loop has read the sockets again: the close of a
 * caller that left while its request waited to be read comes one turn later.
 */
async function closesAreRead(): Promise<void> {
  await turnsOfLoop(2);
}

/** How a request ended whose last try the node may have ended itself. */
function endOfShutdown({caller}: RoutedRequest, end: RequestEnd): RequestEnd {
  if (end.kind !== 'left' || caller.hasLeft || !caller.isGivenUp) return end;
  const detail = 'The node ended before an answer came.';
  const failure = {...deadlinePassed(), detail};
  const {tries} = end;
  return {kind: 'failed', failure, tries, mayHaveRun: true, asked: undefined};
}

/** Time in ms that the caller waits; without bound if it does not say. */
function remainingTimeMs(req: IncomingMessage): number {
  const value = req.headers[REMAINING_TIME_HEADER];
  const ms = typeof value === 'string' ? Number(value) : NaN;
  return Number.isFinite(ms) && ms > 0 ? ms : Infinity;
}

function headerBytes(req: IncomingMessage): number {
  return req.rawHeaders.reduce((sum, text) => sum + text.length, 0);
}
