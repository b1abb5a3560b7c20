/** Dispatches calls to backend servers, with retries. */

import type {
  Balancer,
  Candidate,
  MatchedRoute,
  RetryDecision,
} from '@turmericmill/routing';
import {
  candidateKey,
  decideRetry,
  readyCandidates,
  RETRY_HEADER,
  RetryBudget,
} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';

import type {
  CallEvents,
  CallFailure,
  CallHead,
  CallLeg,
  CallRunner,
  InitialBody,
} from './call-leg.js';
import {headerOf} from './headers.js';
import type {CallerExchange} from './caller-exchange.js';
import type {RemoteRunner} from './remote-runner.js';
import {loadOf, noServer, outcomeOf, type AttemptEnd} from './attempt-end.js';

/** Head of a call for which no server has been selected yet. */
export type CallDemand = Omit<CallHead, 'serverId' | 'serverIncarnation'>;

/** Dependencies of the dispatcher. */
export interface DispatcherParts {
  nodeId: string;
  local: CallRunner;
  remote: RemoteRunner;
  balancer: Balancer;
  clock: Clock;
  random: RandomSource;
  /** Servers of a group in the latest membership view. */
  candidates(group: string): readonly Candidate[];
}

/** State of one call across its attempts. */
interface CallState {
  exchange: CallerExchange;
  route: MatchedRoute;
  demand: CallDemand;
  body: InitialBody;
  /** `candidateKey` of each server that the call was sent to. */
  tried: Set<string>;
  /** True if an earlier hop is retrying the call after an unknown outcome. */
  repeated: boolean;
}

/** Dispatches calls; decorators add claims and usage metering. */
export abstract class CallDispatcher {
  /**
   * Resolves with the end of the last attempt. If it failed, the caller has not
   * been answered yet.
   */
  abstract dispatch(
    exchange: CallerExchange,
    route: MatchedRoute,
    demand: CallDemand,
    body: InitialBody,
  ): Promise<AttemptEnd>;
}

/**
 * Selects servers and runs attempts until one does not fail, no server is left
 * or the call may not be retried.
 */
export class Dispatcher extends CallDispatcher {
  /** Retry budgets by service. */
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly parts: DispatcherParts) {
    super();
  }

  override async dispatch(
    exchange: CallerExchange,
    route: MatchedRoute,
    demand: CallDemand,
    body: InitialBody,
  ): Promise<AttemptEnd> {
    const repeated = headerOf(demand.headers, RETRY_HEADER) === 'no';
    const tried = new Set<string>();
    const call = {exchange, route, demand, body, tried, repeated};
    const now = this.parts.clock.now();
    this.budgetOf(route).deposit(route.retryBudgetPercent, now);
    let end: AttemptEnd = {kind: 'failed', failure: noServer(demand.group)};
    for (;;) {
      const candidate = this.choose(call);
      if (!candidate) return end;
      tried.add(candidateKey(candidate));
      end = await this.runAttempt(call, candidate);
      if (end.kind !== 'failed') return end;
      if (this.decide(call, end.failure) !== 'retry') return end;
      if (end.failure.outcome === 'unknown') markRepeated(call);
    }
  }

  private choose(call: CallState): Candidate | undefined {
    const {balancer, clock, random} = this.parts;
    const {class: cls, priority} = call.demand;
    const {slowStartMs} = call.route.groupSpec;
    const traits = {class: cls, priority, slowStartMs};
    return balancer.choose(
      this.untriedCandidates(call),
      traits,
      clock.now(),
      random,
    );
  }

  private untriedCandidates({demand, tried}: CallState): readonly Candidate[] {
    const all = this.parts.candidates(demand.group);
    if (tried.size === 0) return all;
    return all.filter(candidate => !tried.has(candidateKey(candidate)));
  }

  private decide(call: CallState, failure: CallFailure): RetryDecision {
    const {exchange, route, demand, tried, repeated} = call;
    return decideRetry(
      {
        outcome: failure.outcome,
        reason: failure.reason,
        attempts: tried.size,
        repetition: route.repetition,
        deadlineMs: demand.deadlineMs,
        hops: demand.hops,
        repeated,
        replayable: exchange.canRetry,
        untried: readyCandidates(this.untriedCandidates(call)).length,
      },
      this.budgetOf(route),
      this.parts.clock.now(),
    );
  }

  private budgetOf({service}: MatchedRoute): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = new RetryBudget(this.parts.clock.now());
      this.budgets.set(service, budget);
    }
    return budget;
  }

  private async runAttempt(
    call: CallState,
    candidate: Candidate,
  ): Promise<AttemptEnd> {
    const {balancer, clock} = this.parts;
    const {exchange, demand, body} = call;
    const startedAtMs = clock.now();
    balancer.started(candidate, demand, startedAtMs);
    const end = await exchange.runAttempt(
      body,
      events => this.run(candidate, demand, body, events),
      demand.deadlineMs - startedAtMs,
    );
    const now = clock.now();
    const latencyMs = now - startedAtMs;
    const outcome = outcomeOf(end);
    const load = loadOf(end);
    const result = load ? {outcome, latencyMs, load} : {outcome, latencyMs};
    balancer.finished(candidate, demand, result, now);
    return end;
  }

  private run(
    candidate: Candidate,
    demand: CallDemand,
    body: InitialBody,
    events: CallEvents,
  ): CallLeg {
    const {nodeId, local, remote} = this.parts;
    const head: CallHead = {
      ...demand,
      serverId: candidate.serverId,
      serverIncarnation: candidate.incarnation,
    };
    if (candidate.nodeId === nodeId) return local.run(head, body, events);
    return remote.run(candidate.nodeId, head, body, events);
  }
}

/** Prevents later hops from retrying a call that this hop already retries. */
function markRepeated(call: CallState): void {
  const {demand} = call;
  const headers = [...demand.headers, RETRY_HEADER, 'no'];
  call.demand = {...demand, headers};
}
