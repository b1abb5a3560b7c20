/** HTTP server that receives the requests of this host's callers. */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {
  isRepeatable,
  type CallerLimits,
  type MeshConfig,
  type PrefixRoute,
} from '@turmericmill/config';
import type {Bus} from '@turmericmill/node';
import type {HostAddress} from '@turmericmill/platform-adapter';
import {
  ElapsedTimeEstimator,
  fingerprint,
  PrefixRoutes,
  retryAfterMs,
  SplitRotation,
} from '@turmericmill/routing';
import {
  waitEventLoopTurns,
  type Clock,
  type RandomSource,
} from '@turmericmill/utils';

import type {CallerOutput} from '../memory/caller-output.js';
import {HttpTask} from '../tasks/http-task.js';
import type {RequestContext} from '../observe/request-log.js';
import type {
  CheckedRequest,
  TenantDirectory,
} from '../tenants/tenant-directory.js';
import type {QuotaGate} from '../quota/quota-gate.js';
import type {BodyBudget} from './body-budget.js';
import {
  CallerRequest,
  type LocalAnswer,
  type UndeliveredAnswer,
} from './caller-request.js';
import {headerBytes, remainingTimeMs} from './caller-headers.js';
import {EventLoopLag} from './event-loop-lag.js';
import {keyRejection} from './key-rejection.js';
import type {RequestDispatch} from './request-dispatch.js';
import {RequestTurns} from './request-turns.js';
import {
  failureIfCancelled,
  type RequestEnd,
  type RoutedRequest,
} from './routed-request.js';

/** Limits until a configuration is in force: the platform's usual ones. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Interval in ms at which a shutdown closes connections that became idle. */
const IDLE_CLOSE_INTERVAL_MS = 50;
/** Header bytes that the parser accepts; configured limits may be lower. */
const MAX_HEADER_BYTES = 64 * 1024;
/**
 * Least share of a route's target latency that a caller gets, however long ago
 * its first attempt seems to be: a short remaining time may have a reason other
 * than an earlier attempt.
 */
const MIN_TARGET_SHARE = 0.25;
/**
 * Time in ms in which a node that has just started is expected to have a
 * configuration, or a service without a server to have one again.
 */
const RECOVERY_WAIT_MS = 500;
/** Time in ms after which a caller may retry whose body had no room. */
const NO_ROOM_RETRY_MS = 200;

export interface IngressServerParts {
  listen: HostAddress;
  /** Returns the service on this host whose requests arrive here. */
  callerService(): string;
  dispatch: RequestDispatch;
  tenants: TenantDirectory;
  /** Admits the requests of tenants with a usage cap; undefined without caps. */
  quota?: QuotaGate | undefined;
  bodyBudget: BodyBudget;
  /** Accounts for what callers have not taken; not limited by default. */
  output?: CallerOutput;
  bus: Bus;
  clock: Clock;
  random: RandomSource;
  /** Called once for each routed request; `status`: that of a local answer. */
  onEnded(
    request: RoutedRequest,
    end: RequestEnd,
    context: RequestContext,
    status?: number,
  ): void;
  /** Called for each request that is answered without being dispatched. */
  onRejected(caller: CallerRequest, answer: LocalAnswer, version: number): void;
  /** Called for each request that ended with an exception. */
  onBrokenOff(caller: CallerRequest, err: unknown): void;
  /** Called for each answer that ended but was not fully written. */
  onUndelivered(caller: CallerRequest, answer: UndeliveredAnswer): void;
}

interface RouteTable {
  config: MeshConfig;
  routes: PrefixRoutes;
}

/** A request whose route is known and whose key has been checked. */
interface AdmittedRequest extends CheckedRequest {
  route: PrefixRoute;
}

export class IngressServer extends HttpTask {
  private readonly splitRotation = new SplitRotation();
  private readonly elapsedTime = new ElapsedTimeEstimator();
  private table: RouteTable | undefined;
  private limits = INITIAL_LIMITS;
  /** Requests with a deadline after this time in ms are rejected. */
  private latestDeadlineMs = Infinity;
  /** Requests whose response is not closed. */
  private readonly openRequests = new Set<CallerRequest>();
  private readonly loopLag: EventLoopLag;
  private readonly turns = new RequestTurns(this.server);

  constructor(private readonly parts: IngressServerParts) {
    super(parts.listen, {maxHeaderSize: MAX_HEADER_BYTES});
    this.loopLag = new EventLoopLag(parts.clock);
    this.server.requestTimeout = 0;
    this.applyLimits(INITIAL_LIMITS);
    parts.bus.subscribe('mesh-config', ({config}) => {
      this.table = {config, routes: new PrefixRoutes(config.routes)};
      this.applyLimits(config.limits);
    });
  }

  /** Requests with an unfinished answer and a caller still connected. */
  get requestsInFlight(): number {
    return this.server.openResponses;
  }

  /** Answers that have ended and are not yet fully written. */
  get answersUnflushed(): number {
    return [...this.openRequests].filter(({isFlushing}) => isFlushing).length;
  }

  override async start(): Promise<void> {
    await super.start();
    this.loopLag.start();
  }

  override async stop(): Promise<void> {
    this.loopLag.stop();
    this.parts.quota?.stop();
    await super.stop();
  }

  /** From now on, each connection closes after its answer. */
  drain(): void {
    this.server.drain();
    this.parts.quota?.leaveOwnership();
  }

  /**
   * Accepts no new connections, and rejects requests with a deadline after
   * `latestDeadlineMs`. Closes each connection once it carries no request, and
   * resolves when all are closed.
   */
  async finish(latestDeadlineMs: number): Promise<void> {
    this.latestDeadlineMs = latestDeadlineMs;
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeIdleConnections();
    const timer = setInterval(() => {
      this.server.closeIdleConnections();
    }, IDLE_CLOSE_INTERVAL_MS);
    await closed;
    clearInterval(timer);
  }

  /** Rejects further requests and cancels those whose answer has not begun. */
  rejectAll(): void {
    this.latestDeadlineMs = -Infinity;
    for (const caller of this.openRequests) caller.cancelAttempt();
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
    const arrivedMs = this.parts.clock.now() - this.loopLag.expectedWaitMs;
    const caller = this.trackRequest(req, res);
    try {
      await this.answer(caller, arrivedMs);
    } catch (err) {
      this.parts.onBrokenOff(caller, err);
      caller.cut();
    } finally {
      caller.releaseBody(this.parts.bodyBudget);
    }
  }

  private trackRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): CallerRequest {
    const {clock, output} = this.parts;
    const caller = new CallerRequest(req, res, clock, output);
    this.openRequests.add(caller);
    caller.onClosed = undelivered => {
      this.openRequests.delete(caller);
      if (undelivered) this.parts.onUndelivered(caller, undelivered);
    };
    return caller;
  }

  private async answer(
    caller: CallerRequest,
    arrivedMs: number,
  ): Promise<void> {
    const {table, limits} = this;
    if (!table) {
      const remainingMs = remainingTimeMs(caller.req);
      const retryMs = this.retryDelayMs(remainingMs, RECOVERY_WAIT_MS);
      const answer = {status: 503, reason: 'no configuration yet'};
      this.reject(caller, {...answer, retryAfterMs: retryMs});
      return;
    }
    const admitted = await this.admit(caller, table);
    if (!admitted) return;
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
      this.reject(caller, {...answer, retryAfterMs: NO_ROOM_RETRY_MS});
      return;
    }
    if (!(await this.turns.wait(caller.socket, caller.res))) return;
    await waitForPendingCloses();
    if (caller.hasDisconnected) return;
    const request = this.routedRequest(caller, admitted, body, arrivedMs);
    if (request.deadlineMs > this.latestDeadlineMs) {
      const retryMs = this.retryDelayMs(this.remainingMsOf(request), 0);
      const answer = {status: 503, reason: 'draining', retryAfterMs: retryMs};
      this.reject(caller, answer);
      return;
    }
    const {quota, dispatch} = this.parts;
    let admission = quota?.admit(request);
    if (admission instanceof Promise) {
      admission = await admission;
      if (caller.hasDisconnected) {
        quota?.onEnded(admission, 'not-sent');
        return;
      }
    }
    if (admission?.answer) {
      this.reject(caller, admission.answer);
      return;
    }
    const end = failureIfCancelled(request, await dispatch.dispatch(request));
    if (admission) quota?.onEnded(admission, end);
    const localAnswer =
      end.kind === 'failed' ? this.localAnswer(request, end) : undefined;
    if (localAnswer) caller.sendLocalAnswer(localAnswer);
    const latencyMs = this.parts.clock.now() - arrivedMs;
    const context = {version: table.config.version, latencyMs};
    this.parts.onEnded(request, end, context, localAnswer?.status);
  }

  /** Finds the route and checks the key; otherwise rejects the request. */
  private async admit(
    caller: CallerRequest,
    table: RouteTable,
  ): Promise<AdmittedRequest | undefined> {
    const {req} = caller;
    const route = table.routes.match(req.headers.host ?? '', req.url ?? '/');
    if (!route) {
      this.reject(caller, {status: 404, reason: 'no route'});
      return undefined;
    }
    if (headerBytes(req) > this.limits.maxHeaderBytes) {
      this.reject(caller, {status: 431, reason: 'headers too large'});
      return undefined;
    }
    const check = this.parts.tenants.check(req.rawHeaders, route);
    if (check.kind === 'passed') {
      this.turns.add(req, caller.res, isRepeatable(route.kind));
      return {route, ...check.request};
    }
    await caller.discardBody();
    const retryDelayMs = (waitMs: number) =>
      this.retryDelayMs(remainingTimeMs(req), waitMs);
    this.reject(caller, keyRejection(check.reason, retryDelayMs));
    return undefined;
  }

  private reject(caller: CallerRequest, answer: LocalAnswer): void {
    caller.sendLocalAnswer(answer);
    const version = this.table?.config.version ?? 0;
    this.parts.onRejected(caller, answer, version);
  }

  private routedRequest(
    caller: CallerRequest,
    admitted: AdmittedRequest,
    body: Uint8Array,
    arrivedMs: number,
  ): RoutedRequest {
    const {req} = caller;
    const callerService = this.parts.callerService();
    const method = req.method ?? 'GET';
    const path = req.url ?? '/';
    const {route} = admitted;
    const {name, timeoutMs, targetLatencyMs} = route;
    const remainingMs = remainingTimeMs(req);
    const waitMs = Math.min(timeoutMs, remainingMs);
    const elapsedMs = this.elapsedTime.estimateElapsedMs(name, remainingMs);
    const minTargetLatencyMs = targetLatencyMs * MIN_TARGET_SHARE;
    const targetMs =
      arrivedMs + Math.max(targetLatencyMs - elapsedMs, minTargetLatencyMs);
    return {
      ...admitted,
      caller,
      service: this.splitRotation.next(route),
      method,
      path,
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

  /** Uses 503 only if the request has not run; with 502 or 504 it may have. */
  private localAnswer(
    request: RoutedRequest,
    end: Extract<RequestEnd, {kind: 'failed'}>,
  ): LocalAnswer {
    const {failure, mayHaveRun} = end;
    const {reason} = failure;
    if (mayHaveRun) {
      return {status: reason === 'deadline' ? 504 : 502, reason};
    }
    if (reason === 'unknown-key' || reason === 'stale-config') {
      return keyRejection(reason, waitMs =>
        this.retryDelayMs(this.remainingMsOf(request), waitMs),
      );
    }
    const waitMs =
      reason === 'no-server' ? RECOVERY_WAIT_MS : (failure.load.waitMs ?? 0);
    const retryMs = this.retryDelayMs(this.remainingMsOf(request), waitMs);
    return {status: 503, reason, retryAfterMs: retryMs};
  }

  private remainingMsOf({deadlineMs}: RoutedRequest): number {
    return deadlineMs - this.parts.clock.now();
  }

  private retryDelayMs(remainingMs: number, waitMs: number): number {
    return retryAfterMs(waitMs, remainingMs, this.parts.random);
  }
}

/**
 * Resolves once the event loop has read the sockets again: if a caller
 * disconnects while its request waits to be read, its close is read one turn
 * later.
 */
async function waitForPendingCloses(): Promise<void> {
  await waitEventLoopTurns(2);
}
