/** Takes one call from its caller to a backend server, with retries. */

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

/** What the caller asks for, before a server is chosen. */
export type CallDemand = Omit<CallHead, 'serverId' | 'serverIncarnation'>;

/** Where calls run and how servers are chosen. */
export interface DispatcherParts {
  nodeId: string;
  local: CallRunner;
  remote: RemoteRunner;
  balancer: Balancer;
  clock: Clock;
  random: RandomSource;
  /** The servers of a group, by the newest view. */
  candidates(group: string): readonly Candidate[];
}

/** One call on its way through its tries. */
interface CallProgress {
  exchange: CallerExchange;
  route: MatchedRoute;
  demand: CallDemand;
  body: InitialBody;
  /** Servers that were tried, by `candidateKey`. */
  tried: Set<string>;
  /** True once it is sent again after an unknown outcome. */
  repeated: boolean;
}

/** Takes calls to backend servers. */
export abstract class CallDispatcher {
  /** Resolves with the last try's end; a failure has not been answered yet. */
  abstract dispatch(
    exchange: CallerExchange,
    route: MatchedRoute,
    demand: CallDemand,
    body: InitialBody,
  ): Promise<AttemptEnd>;
}

/** Chooses servers and runs tries until one is answered or none may follow. */
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
      end = await this.tryOnce(call, candidate);
      if (end.kind !== 'failed') return end;
      if (this.decide(call, end.failure) !== 'retry') return end;
      if (end.failure.outcome === 'unknown') markRepeated(call);
    }
  }

  private choose(call: CallProgress): Candidate | undefined {
    const {balancer, clock, random} = this.parts;
    const {class: cls, priority} = call.demand;
    const {slowStartMs} = call.route.groupSpec;
    const traits = {class: cls, priority, slowStartMs};
    return balancer.choose(this.untried(call), traits, clock.now(), random);
  }

  private untried({demand, tried}: CallProgress): readonly Candidate[] {
    const all = this.parts.candidates(demand.group);
    if (tried.size === 0) return all;
    return all.filter(candidate => !tried.has(candidateKey(candidate)));
  }

  private decide(call: CallProgress, failure: CallFailure): RetryDecision {
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
        untried: readyCandidates(this.untried(call)).length,
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

  private async tryOnce(
    call: CallProgress,
    candidate: Candidate,
  ): Promise<AttemptEnd> {
    const {balancer, clock} = this.parts;
    const {exchange, demand, body} = call;
    const startedMs = clock.now();
    balancer.started(candidate, demand, startedMs);
    const end = await exchange.runTry(
      body,
      events => this.run(candidate, demand, body, events),
      demand.deadlineMs - startedMs,
    );
    const now = clock.now();
    const latencyMs = now - startedMs;
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

/** Keeps later hops from repeating what this one repeats already. */
function markRepeated(call: CallProgress): void {
  const {demand} = call;
  const headers = [...demand.headers, RETRY_HEADER, 'no'];
  call.demand = {...demand, headers};
}
