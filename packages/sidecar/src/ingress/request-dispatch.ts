/** Takes one request to a backend server, with offers and repetitions. */

import type {PrefixRoute} from '@turmericmill/config';
import {
  deadlinePassed,
  loadOf,
  NO_LOAD,
  noServer,
  outcomeOf,
  type CallFailure,
  type CallHead,
  type CallRunner,
  type FirstBody,
  type RemoteRunner,
  type TryEnd,
} from '@turmericmill/node';
import {
  candidateKey,
  readyCandidates,
  RecentRefusals,
  RetryBudget,
  type Balancer,
  type CallTraits,
  type Candidate,
} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';
import type {FlatHeaders, ServerLoad} from '@turmericmill/wire';

import {MAX_BODY_FRAME_BYTES} from '../server/server-call.js';
import type {AnswerSizes} from './answer-sizes.js';
import type {CallerRequest} from './caller-request.js';
import {nextStep} from './try-decision.js';

/** Time in ms after the deadline in which an answer may still arrive. */
const DEADLINE_GRACE_MS = 60;

/** A request whose route is known. */
export interface RoutedRequest {
  caller: CallerRequest;
  route: PrefixRoute;
  service: string;
  method: string;
  path: string;
  headers: FlatHeaders;
  body: Uint8Array;
  /** Service beside which the request began. */
  callerService: string;
  fingerprint: string;
  /** Time in ms by which the caller wants the answer. */
  targetMs: number;
  /** Time in ms at which the request is given up. */
  deadlineMs: number;
}

/** How a request ended for its caller. */
export type RequestEnd =
  | {kind: 'answered'; status: number; tries: number}
  | {kind: 'failed'; failure: CallFailure; tries: number; mayHaveRun: boolean}
  | {kind: 'cut'; tries: number}
  | {kind: 'left'; tries: number};

export interface RequestDispatchParts {
  nodeId: string;
  local: CallRunner;
  remote: RemoteRunner;
  balancer: Balancer;
  clock: Clock;
  random: RandomSource;
  sizes: AnswerSizes;
  /** Percent of a service's requests that may be sent again. */
  retryPercent: number;
  /** The servers of a service, by the newest view. */
  candidates(service: string): readonly Candidate[];
}

interface Progress {
  request: RoutedRequest;
  traits: CallTraits;
  tried: Set<string>;
  reached: number;
  offers: number;
  acceptsLate: boolean;
  mayHaveRun: boolean;
  /** Least wait in ms that a node without a slot has told. */
  leastWaitMs: number;
}

export class RequestDispatch {
  private readonly budgets = new Map<string, RetryBudget>();
  private readonly refusals = new RecentRefusals();

  constructor(private readonly parts: RequestDispatchParts) {}

  /** Resolves when the request has ended; a failure is not answered yet. */
  async dispatch(request: RoutedRequest): Promise<RequestEnd> {
    const progress: Progress = {
      request,
      traits: this.traitsOf(request),
      tried: new Set(),
      reached: 0,
      offers: 0,
      acceptsLate: false,
      mayHaveRun: false,
      leastWaitMs: Infinity,
    };
    const now = this.parts.clock.now();
    this.budgetOf(request).deposit(this.parts.retryPercent, now);
    let failure: CallFailure | undefined;
    for (;;) {
      const tries = progress.tried.size;
      const candidate = this.choose(progress);
      if (!candidate) {
        return this.failed(progress, failure ?? this.notAsked(request));
      }
      const end = await this.tryOnce(progress, candidate);
      if (end.kind === 'answered') return {...end, tries: tries + 1};
      if (end.kind !== 'failed') return {kind: end.kind, tries: tries + 1};
      failure = end.failure;
      if (!this.goesOn(progress, failure)) {
        return this.failed(progress, failure);
      }
    }
  }

  /** What to tell if no server is asked at all. */
  private notAsked({service}: RoutedRequest): CallFailure {
    const ready = readyCandidates(this.parts.candidates(service));
    return ready.length === 0 ? noServer(service) : allFull(service);
  }

  private failed(progress: Progress, failure: CallFailure): RequestEnd {
    const {mayHaveRun, tried, leastWaitMs} = progress;
    const waitMs = Number.isFinite(leastWaitMs) ? leastWaitMs : 0;
    const load = {...failure.load, waitMs};
    return {
      kind: 'failed',
      failure: {...failure, load},
      tries: tried.size,
      mayHaveRun,
    };
  }

  private goesOn(progress: Progress, failure: CallFailure): boolean {
    const {request} = progress;
    const now = this.parts.clock.now();
    if (failure.outcome === 'unknown') progress.mayHaveRun = true;
    if (failure.outcome === 'unknown' || failure.reachedServer) {
      progress.reached += 1;
    }
    if (failure.reason === 'overload' && failure.load.waitMs !== undefined) {
      progress.leastWaitMs = Math.min(
        progress.leastWaitMs,
        failure.load.waitMs,
      );
    }
    const step = nextStep(
      {
        repeatable: request.route.kind !== 'unsafe',
        reached: progress.reached,
        maxAttempts: request.route.maxAttempts,
        offers: progress.offers,
        remainingMs: request.deadlineMs - now,
      },
      failure,
    );
    if (step === 'stop') return false;
    if (step === 'repeat') return this.budgetOf(request).withdraw(1, now);
    return true;
  }

  /** Once all nodes have refused, the fastest of them may answer late. */
  private choose(progress: Progress): Candidate | undefined {
    const {request, tried} = progress;
    const all = this.parts.candidates(request.service);
    const untried = all.filter(one => !tried.has(candidateKey(one)));
    const found = this.pick(this.withRoom(untried, progress), progress);
    if (found || progress.acceptsLate || progress.reached > 0) return found;
    progress.acceptsLate = true;
    return this.pick(this.withRoom(all, progress), progress);
  }

  /** Those that have not refused such a call a moment ago. */
  private withRoom(
    candidates: readonly Candidate[],
    {request, acceptsLate}: Progress,
  ): readonly Candidate[] {
    const now = this.parts.clock.now();
    const {rank} = request.route;
    return candidates.filter(candidate => {
      const server = candidateKey(candidate);
      return !this.refusals.covers({server, rank, acceptsLate}, now);
    });
  }

  private noteAnswer(
    candidate: Candidate,
    {request, acceptsLate}: Progress,
    end: TryEnd,
  ): void {
    const server = candidateKey(candidate);
    if (end.kind === 'answered') {
      this.refusals.clear(server);
      return;
    }
    if (end.kind !== 'failed' || end.failure.reason !== 'overload') return;
    const {rank} = request.route;
    const now = this.parts.clock.now();
    this.refusals.note({server, rank, acceptsLate}, now);
  }

  private pick(
    candidates: readonly Candidate[],
    {traits}: Progress,
  ): Candidate | undefined {
    const {balancer, clock, random} = this.parts;
    return balancer.choose(candidates, traits, clock.now(), random);
  }

  private traitsOf({route}: RoutedRequest): CallTraits {
    const answerBytes = this.parts.sizes.expectedBytes(route);
    return {class: route.name, priority: 'interactive', answerBytes};
  }

  private async tryOnce(
    progress: Progress,
    candidate: Candidate,
  ): Promise<TryEnd> {
    const {balancer, clock} = this.parts;
    const {traits, tried} = progress;
    tried.add(candidateKey(candidate));
    progress.offers += 1;
    const startedMs = clock.now();
    balancer.started(candidate, traits, startedMs);
    const end = await this.run(progress, candidate);
    const now = clock.now();
    const latencyMs = now - startedMs;
    const load = loadOf(end);
    const result = {outcome: outcomeOf(end), latencyMs, ...(load && {load})};
    balancer.finished(candidate, traits, result, now);
    this.noteAnswer(candidate, progress, end);
    return end;
  }

  private run(progress: Progress, candidate: Candidate): Promise<TryEnd> {
    const {request} = progress;
    const {caller} = request;
    const head = this.headOf(progress, candidate);
    const {clock, sizes} = this.parts;
    return new Promise(resolve => {
      let ended = false;
      let bytes = 0;
      let status = 0;
      let load: ServerLoad = NO_LOAD;
      // The local node may settle the try before `start` returns.
      let timer: NodeJS.Timeout | undefined = undefined;
      const settle = (end: TryEnd) => {
        if (ended) return;
        ended = true;
        clearTimeout(timer);
        caller.onLeft = undefined;
        resolve(end);
      };
      const leg = this.start(candidate, head, request.body, {
        credit: () => undefined,
        answerStart: (code, headers, serverLoad) => {
          status = code;
          load = serverLoad;
          clearTimeout(timer);
          caller.start(code, headers);
        },
        answerData: chunk => {
          bytes += chunk.length;
          caller.data(chunk);
        },
        answerEnd: () => {
          caller.end();
          if (status < 300) sizes.record(request.route, bytes);
          settle({kind: 'answered', status, load});
        },
        failed: failure => {
          if (status === 0) {
            settle({kind: 'failed', failure});
            return;
          }
          caller.cut();
          settle({kind: 'cut', failure});
        },
      });
      if (ended) return;
      const waitMs = request.deadlineMs - clock.now() + DEADLINE_GRACE_MS;
      timer = setTimeout(() => {
        leg.cancel();
        settle({kind: 'failed', failure: deadlinePassed()});
      }, waitMs);
      const leave = () => {
        leg.cancel();
        settle({kind: 'left'});
      };
      if (caller.hasLeft) leave();
      else caller.onLeft = leave;
    });
  }

  private start(
    candidate: Candidate,
    head: CallHead,
    body: Uint8Array,
    events: Parameters<CallRunner['run']>[2],
  ) {
    const {nodeId, local, remote} = this.parts;
    const first: FirstBody = {
      chunk: body.subarray(0, MAX_BODY_FRAME_BYTES),
      end: body.length <= MAX_BODY_FRAME_BYTES,
    };
    const leg =
      candidate.nodeId === nodeId
        ? local.run(head, first, events)
        : remote.run(candidate.nodeId, head, first, events);
    if (first.end) return leg;
    let at = MAX_BODY_FRAME_BYTES;
    for (; at < body.length; at += MAX_BODY_FRAME_BYTES) {
      leg.data(body.subarray(at, at + MAX_BODY_FRAME_BYTES));
    }
    leg.end([]);
    return leg;
  }

  private headOf(
    {request, acceptsLate}: Progress,
    candidate: Candidate,
  ): CallHead {
    const {route} = request;
    return {
      serverId: candidate.serverId,
      serverIncarnation: candidate.incarnation,
      group: request.service,
      method: request.method,
      path: request.path,
      headers: request.headers,
      customer: request.callerService,
      class: route.name,
      priority: 'interactive',
      hops: 1,
      fingerprint: request.fingerprint,
      deadlineMs: request.deadlineMs,
      urgency: {
        rank: route.rank,
        targetRemainingMs: request.targetMs - this.parts.clock.now(),
        acceptsLate,
        repeatable: route.kind !== 'unsafe',
      },
    };
  }

  private budgetOf({service}: RoutedRequest): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = new RetryBudget(this.parts.clock.now());
      this.budgets.set(service, budget);
    }
    return budget;
  }
}

/** Nobody was asked, as all have refused such calls a moment ago. */
function allFull(service: string): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'overload',
    detail: `All servers of ${service} have just refused calls.`,
    load: {...NO_LOAD},
  };
}
