/** Sends one request to a backend server, with offers and retries. */

import {isRepeatable} from '@turmericmill/config';
import {
  loadOf,
  noServer,
  outcomeOf,
  type CallEvents,
  type CallFailure,
  type CallHead,
  type CallLeg,
  type CallRunner,
  type InitialBody,
  type RemoteRunner,
  type AttemptEnd,
} from '@turmericmill/node';
import {
  candidateKey,
  buildOffer,
  offerStages,
  selectEligibleCandidates,
  readyCandidates,
  RecentRefusals,
  RetryWindow,
  type CallTraits,
  type Candidate,
  type LeastExpectedCostBalancer,
  type OfferStage,
  type OfferStages,
  type OfferState,
  type RetryAllowance,
} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';

import type {AnswerBudget} from '../answer-budget.js';
import type {VersionRouting, VersionTurn} from '../rollout/version-routing.js';
import type {TenantDirectory} from '../tenants/tenant-directory.js';
import type {AnswerSizes} from './answer-sizes.js';
import {BodySender} from './body-sender.js';
import {BufferedAnswer} from './buffered-answer.js';
import {allServersFull, keyNotValid} from './dispatch-failures.js';
import {
  requestEndOf,
  type RequestEnd,
  type RoutedRequest,
} from './routed-request.js';
import {ServerAttempt} from './server-attempt.js';
import {nextStep} from './retry-decision.js';

/**
 * Offers to the new servers of a roll-out before the old ones get the request;
 * half of those that `nextStep` allows in all.
 */
const MAX_FIRST_OFFERS = 2;

export interface RequestDispatchParts {
  nodeId: string;
  local: CallRunner;
  remote: RemoteRunner;
  balancer: LeastExpectedCostBalancer;
  clock: Clock;
  random: RandomSource;
  sizes: AnswerSizes;
  /** Bounds the bytes of answers that are buffered until they are complete. */
  answerBudget: AnswerBudget;
  /** How many of a service's requests may be retried. */
  retries: RetryAllowance;
  tenants: TenantDirectory;
  /** Data centre of this node. */
  dataCentre: string;
  /** Undefined in deployments without roll-outs. */
  versions?: VersionRouting | undefined;
  /** Returns the servers of a service in the newest view. */
  candidates(service: string): readonly Candidate[];
}

interface Progress {
  request: RoutedRequest;
  traits: CallTraits;
  /** Side of a roll-out that the request is for. */
  turn: VersionTurn;
  /** Index of the group of servers that the request is offered to. */
  group: number;
  stage: OfferStage;
  /** Stages that follow the current one. */
  laterStages: readonly OfferStage[];
  /** Servers that the request was offered to, by `candidateKey`. */
  tried: Set<string>;
  /** Server that got the last offer. */
  asked: Candidate | undefined;
  /** Number of servers that the request was sent to. */
  reached: number;
  offers: number;
  mayHaveRun: boolean;
  /** Shortest wait in ms that a node without a free slot has reported. */
  minWaitMs: number;
}

export class RequestDispatch {
  private readonly retryWindows = new Map<string, RetryWindow>();
  private readonly recentRefusals = new RecentRefusals();

  constructor(private readonly parts: RequestDispatchParts) {}

  /** Resolves when the request has ended; a failed one is not answered yet. */
  async dispatch(request: RoutedRequest): Promise<RequestEnd> {
    const now = this.parts.clock.now();
    const traits = this.traitsOf(request);
    const [stage, ...laterStages] = this.stagesOf(request, traits);
    const progress: Progress = {
      request,
      traits,
      turn: this.parts.versions?.nextTurn(request.service),
      group: 0,
      stage,
      laterStages,
      tried: new Set(),
      asked: undefined,
      reached: 0,
      offers: 0,
      mayHaveRun: false,
      minWaitMs: Infinity,
    };
    this.retryWindowOf(request).recordRequest(now);
    let failure: CallFailure | undefined;
    for (;;) {
      const tries = progress.tried.size;
      const candidate = this.choose(progress);
      if (!candidate) {
        return this.failedEnd(
          progress,
          failure ?? this.notOfferedFailure(request),
        );
      }
      const refusal = this.recheckKey(request);
      if (refusal) return this.failedEnd(progress, refusal);
      const end = await this.attempt(progress, candidate);
      if (end.kind !== 'failed') {
        return requestEndOf(end, request.caller, tries + 1, candidate);
      }
      failure = end.failure;
      if (!this.shouldContinue(progress, failure)) {
        return this.failedEnd(progress, failure);
      }
    }
  }

  /** Returns a failure if the key of the request is not valid any more. */
  private recheckKey(request: RoutedRequest): CallFailure | undefined {
    const check = this.parts.tenants.recheck(request);
    if (check?.kind === 'passed') Object.assign(request, check.request);
    return check?.kind === 'refused' ? keyNotValid(check.reason) : undefined;
  }

  /** Returns the failure of a request that was offered to no server. */
  private notOfferedFailure({service}: RoutedRequest): CallFailure {
    const ready = readyCandidates(this.parts.candidates(service));
    return ready.length === 0 ? noServer(service) : allServersFull(service);
  }

  private failedEnd(progress: Progress, failure: CallFailure): RequestEnd {
    const {mayHaveRun, tried, minWaitMs, asked} = progress;
    const waitMs = Number.isFinite(minWaitMs) ? minWaitMs : 0;
    const load = {...failure.load, waitMs};
    return {
      kind: 'failed',
      failure: {...failure, load},
      tries: tried.size,
      mayHaveRun,
      asked,
    };
  }

  private shouldContinue(progress: Progress, failure: CallFailure): boolean {
    const {request} = progress;
    const now = this.parts.clock.now();
    if (failure.outcome === 'unknown') progress.mayHaveRun = true;
    if (failure.outcome === 'unknown' || failure.reachedServer) {
      progress.reached += 1;
    }
    if (failure.reason === 'overload' && failure.load.waitMs !== undefined) {
      progress.minWaitMs = Math.min(progress.minWaitMs, failure.load.waitMs);
    }
    const step = nextStep(
      {
        repeatable: isRepeatable(request.route.kind),
        reached: progress.reached,
        maxAttempts: request.route.maxAttempts,
        offers: progress.offers,
        remainingMs: request.deadlineMs - now,
      },
      failure,
    );
    if (step === 'stop') return false;
    if (step === 'repeat') return this.retryWindowOf(request).acquire(now);
    return true;
  }

  private stagesOf({route}: RoutedRequest, traits: CallTraits): OfferStages {
    return offerStages({
      transferCostMs: this.parts.balancer.transferCostMs(traits),
      maxLatenessMs: Math.max(0, route.timeoutMs - route.targetLatencyMs),
    });
  }

  /**
   * Chooses a server; goes to the next stage when this one has none left, and
   * after the last stage to the next group of servers.
   */
  private choose(progress: Progress): Candidate | undefined {
    for (;;) {
      // What a roll-out allows may have changed since the last offer.
      const groups = this.groupsOf(progress);
      const group = groups[Math.min(progress.group, groups.length - 1)] ?? [];
      const hasNextGroup = progress.group + 1 < groups.length;
      const isOver = hasNextGroup && progress.offers >= MAX_FIRST_OFFERS;
      const found = isOver
        ? undefined
        : this.chooseAmong(this.eligibleCandidates(progress, group), progress);
      if (found) return found;
      const [next, ...laterStages] = progress.laterStages;
      if (next && !isOver) {
        progress.stage = next;
        progress.laterStages = laterStages;
      } else if (hasNextGroup) {
        const {request, traits} = progress;
        const [first, ...rest] = this.stagesOf(request, traits);
        progress.group += 1;
        progress.stage = first;
        progress.laterStages = rest;
      } else {
        return undefined;
      }
    }
  }

  private groupsOf({
    request,
    turn,
  }: Progress): readonly (readonly Candidate[])[] {
    const {versions, candidates} = this.parts;
    const all = candidates(request.service);
    return versions?.groups(request.service, all, turn) ?? [all];
  }

  private eligibleCandidates(
    progress: Progress,
    group: readonly Candidate[],
  ): readonly Candidate[] {
    const {clock, dataCentre} = this.parts;
    return selectEligibleCandidates(
      group,
      offerState(progress),
      this.recentRefusals,
      dataCentre,
      clock.now(),
    );
  }

  private updateRefusals(
    candidate: Candidate,
    progress: Progress,
    end: AttemptEnd,
  ): void {
    if (end.kind === 'answered') {
      const {tenant} = progress.request;
      this.recentRefusals.clear(candidateKey(candidate), tenant);
      return;
    }
    if (end.kind !== 'failed' || end.failure.reason !== 'overload') return;
    // A server without a free slot may still accept calls that can wait.
    if (!progress.stage.mayWait) return;
    const now = this.parts.clock.now();
    this.recentRefusals.record(
      buildOffer(candidate, offerState(progress), now),
      now,
    );
  }

  private chooseAmong(
    candidates: readonly Candidate[],
    {traits}: Progress,
  ): Candidate | undefined {
    const {balancer, clock, random} = this.parts;
    return balancer.choose(candidates, traits, clock.now(), random);
  }

  private traitsOf({route, body}: RoutedRequest): CallTraits {
    const transferBytes = body.length + this.parts.sizes.expectedBytes(route);
    return {class: route.name, priority: 'interactive', transferBytes};
  }

  private async attempt(
    progress: Progress,
    candidate: Candidate,
  ): Promise<AttemptEnd> {
    const {balancer, clock} = this.parts;
    const {traits, tried} = progress;
    tried.add(candidateKey(candidate));
    progress.asked = candidate;
    progress.offers += 1;
    const startedMs = clock.now();
    balancer.started(candidate, traits);
    const end = await this.runAttempt(progress, candidate);
    const now = clock.now();
    const latencyMs = now - startedMs;
    const load = loadOf(end);
    const result = {outcome: outcomeOf(end), latencyMs, ...(load && {load})};
    balancer.finished(candidate, traits, result, now);
    this.updateRefusals(candidate, progress, end);
    return end;
  }

  private async runAttempt(
    progress: Progress,
    candidate: Candidate,
  ): Promise<AttemptEnd> {
    const {request} = progress;
    const {clock, sizes, answerBudget} = this.parts;
    const {method, caller, body} = request;
    const head = this.headOf(progress, candidate);
    const answer = new BufferedAnswer(method, caller, answerBudget);
    const serverAttempt = new ServerAttempt(request, answer, clock);
    const sender = new BodySender(body);
    serverAttempt.onBodyTaken = bytes => sender.confirm(bytes);
    const end = await serverAttempt.run(events =>
      sender.start(first => this.startCall(candidate, head, first, events)),
    );
    if (end.kind === 'answered' && end.status < 300) {
      sizes.record(request.route, answer.bytes);
    }
    return end;
  }

  private startCall(
    candidate: Candidate,
    head: CallHead,
    first: InitialBody,
    events: CallEvents,
  ): CallLeg {
    const {nodeId, local, remote} = this.parts;
    return candidate.nodeId === nodeId
      ? local.run(head, first, events)
      : remote.run(candidate.nodeId, head, first, events);
  }

  private headOf({request, stage}: Progress, candidate: Candidate): CallHead {
    const {route, tenant, tenantVersion, rank} = request;
    const {acceptsLate, mayWait} = stage;
    const now = this.parts.clock.now();
    return {
      serverId: candidate.serverId,
      serverIncarnation: candidate.incarnation,
      group: request.service,
      method: request.method,
      path: request.path,
      headers: request.headers,
      customer: request.callerService,
      ...(tenant !== undefined && {tenant, tenantVersion}),
      class: route.name,
      priority: 'interactive',
      hops: 1,
      fingerprint: request.fingerprint,
      deadlineMs: request.deadlineMs,
      urgency: {
        rank,
        targetRemainingMs: mayWait ? request.targetMs - now : 0,
        acceptsLate: acceptsLate && mayWait,
        repeatable: isRepeatable(route.kind),
      },
    };
  }

  private retryWindowOf({service}: RoutedRequest): RetryWindow {
    let retryWindow = this.retryWindows.get(service);
    if (!retryWindow) {
      retryWindow = new RetryWindow(this.parts.retries);
      this.retryWindows.set(service, retryWindow);
    }
    return retryWindow;
  }
}

function offerState({request, stage, tried, reached}: Progress): OfferState {
  const {tenant, rank, targetMs, deadlineMs} = request;
  return {stage, tried, reached, tenant, rank, targetMs, deadlineMs};
}
