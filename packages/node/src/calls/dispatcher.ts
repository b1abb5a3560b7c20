/** Takes one call from its caller to a backend server, with retries. */

import type {
  Balancer,
  CallOutcome,
  Candidate,
  MatchedRoute,
} from '@turmericmill/routing';
import {candidateKey} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';

import type {
  CallEvents,
  CallFailure,
  CallHead,
  CallLeg,
  CallRunner,
  FirstBody,
} from './call-leg.js';
import {NO_LOAD} from './call-leg.js';
import type {CallerExchange, TryEnd} from './caller-exchange.js';
import type {RemoteRunner} from './remote-runner.js';

/** Tries of one call in all. */
const MAX_TRIES = 3;

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

/** Chooses servers and runs tries until one is answered or none may follow. */
export class Dispatcher {
  constructor(private readonly parts: DispatcherParts) {}

  /** Resolves with the last try's end; a failure has not been answered yet. */
  async dispatch(
    exchange: CallerExchange,
    route: MatchedRoute,
    demand: CallDemand,
    body: FirstBody,
  ): Promise<TryEnd> {
    const tried = new Set<string>();
    let end: TryEnd = {kind: 'failed', failure: noServer(demand.group)};
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const candidate = this.choose(demand.group, tried);
      if (!candidate) break;
      tried.add(candidateKey(candidate));
      end = await this.tryOnce(exchange, candidate, demand, body);
      if (!mayRetry(end, route) || !exchange.canRetry) break;
    }
    return end;
  }

  private choose(
    group: string,
    tried: ReadonlySet<string>,
  ): Candidate | undefined {
    const {balancer, clock, random, candidates} = this.parts;
    const all = candidates(group);
    const left =
      tried.size === 0 ? all : all.filter(c => !tried.has(candidateKey(c)));
    return balancer.choose(left, clock.now(), random);
  }

  private async tryOnce(
    exchange: CallerExchange,
    candidate: Candidate,
    demand: CallDemand,
    body: FirstBody,
  ): Promise<TryEnd> {
    const {balancer, clock} = this.parts;
    const startedMs = clock.now();
    balancer.started(candidate, startedMs);
    const end = await exchange.runTry(body, events =>
      this.run(candidate, demand, body, events),
    );
    const now = clock.now();
    const latencyMs = now - startedMs;
    const outcome = outcomeOf(end);
    const load = loadOf(end);
    const result = load ? {outcome, latencyMs, load} : {outcome, latencyMs};
    balancer.finished(candidate, result, now);
    return end;
  }

  private run(
    candidate: Candidate,
    demand: CallDemand,
    body: FirstBody,
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

function noServer(group: string): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'no-server',
    detail: `No backend server of ${group} is ready.`,
    load: {...NO_LOAD},
  };
}

function mayRetry(end: TryEnd, route: MatchedRoute): boolean {
  if (end.kind !== 'failed') return false;
  if (end.failure.reason === 'deadline') return false;
  return end.failure.outcome === 'not-run' || route.repetition === 'repeatable';
}

function outcomeOf(end: TryEnd): CallOutcome {
  if (end.kind === 'left') return 'cancelled';
  if (end.kind === 'answered') {
    return end.status >= 500 ? 'server-error' : 'answered';
  }
  const {reason, outcome} = end.failure;
  if (reason === 'deadline') return 'timed-out';
  return outcome === 'not-run' ? 'refused' : 'failed';
}

function loadOf(end: TryEnd) {
  if (end.kind === 'answered') return end.load;
  return end.kind === 'left' ? undefined : end.failure.load;
}
