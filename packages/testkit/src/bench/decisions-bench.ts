/** Processor time of the decisions that each call needs. */

import {
  resourceKey,
  type Resource,
  type ResourceKey,
} from '@turmericmill/config';
import {
  Admission,
  fingerprint,
  LeastExpectedCostBalancer,
  RoundRobinBalancer,
  RoutingTable,
  type Balancer,
  type Candidate,
} from '@turmericmill/routing';
import {SeededRandom} from '@turmericmill/utils';

import {
  Bench,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';

const WARM_UP_SHARE = 0.2;
const CALL = {class: 'bench/class/control', priority: 'interactive'} as const;
const LOAD = {inFlight: 3, queued: 0, limit: 12, serviceMs: 20};

/** Mean time in microseconds of one `step`. */
function meanUs(times: number, step: (index: number) => void): number {
  for (let i = 0; i < times * WARM_UP_SHARE; i++) step(i);
  const startedMs = performance.now();
  for (let i = 0; i < times; i++) step(i);
  const elapsedMs = performance.now() - startedMs;
  return Number(((elapsedMs / times) * 1_000).toFixed(3));
}

function candidatesOf(count: number): Candidate[] {
  return Array.from({length: count}, (unused, index) => ({
    nodeId: `node-${index}`,
    serverId: 'server',
    incarnation: 1,
    group: 'bench/group',
    dataCentre: `dc-${index % 3}`,
    state: 'ready',
    slots: 12,
    readySinceMs: 0,
  }));
}

function balanceUs(balancer: Balancer, count: number, times: number): number {
  const candidates = candidatesOf(count);
  const random = new SeededRandom(count);
  return meanUs(times, index => {
    const chosen = balancer.choose(candidates, CALL, index, random);
    if (!chosen) return;
    balancer.started(chosen, CALL, index);
    const result = {outcome: 'answered', latencyMs: 20, load: LOAD} as const;
    balancer.finished(chosen, CALL, result, index);
  });
}

function routeResources(count: number): Map<ResourceKey, Resource> {
  const team = 'bench';
  const common: Resource[] = [
    {
      key: resourceKey(team, 'class', 'control'),
      team,
      kind: 'class',
      name: 'control',
      spec: {priority: 'interactive', weight: 1},
    },
    {
      key: resourceKey(team, 'backendServerGroup', 'group'),
      team,
      kind: 'backendServerGroup',
      name: 'group',
      spec: {maxSlots: 12, maxConnections: 130, slowStartMs: 0},
    },
    {
      key: resourceKey(team, 'service', 'api'),
      team,
      kind: 'service',
      name: 'api',
      spec: {
        backendServerGroup: 'group',
        timeoutMs: 1_000,
        retryBudgetPercent: 10,
      },
    },
  ];
  const routes = Array.from({length: count}, (unused, i): Resource => {
    const match = {host: `h${i % 100}`, pathPrefix: `/a/${i}/c`};
    const name = `r${i}`;
    return {
      key: resourceKey(team, 'route', name),
      team,
      kind: 'route',
      name,
      spec: {match, service: 'api', class: 'control', repetition: 'repeatable'},
    };
  });
  return new Map([...common, ...routes].map(r => [r.key, r]));
}

function matchUs(routes: number, times: number): number {
  const table = RoutingTable.build(routeResources(routes));
  return meanUs(times, index => {
    const i = index % routes;
    const host = `h${i % 100}:80`;
    const path = `/a/${i}/c/d?e=f`;
    table.match({host, method: 'GET', path, headers: {}});
  });
}

function admitUs(times: number): number {
  const admission = new Admission({slots: 12, connections: 130});
  return meanUs(times, id => {
    const call = {...CALL, id, weight: 1, fingerprint: '', suspect: false};
    admission.offer({...call, deadlineMs: id + 1_000}, id);
    admission.finished(id, 'answered', id + 1);
    admission.load(CALL);
  });
}

function fingerprintUs(times: number): number {
  const bodyStart = Buffer.alloc(512, 'x');
  const parts = {method: 'POST', path: '/a', customer: 'c', bodyStart};
  return meanUs(times, () => fingerprint(parts));
}

/** Each decision alone, in a loop. */
class DecisionsBench extends Bench {
  override readonly summary = 'Processor time of each decision of a call';

  override run(options: BenchOptions): Promise<object> {
    const times = numberOption(options, 'times', 100_000);
    const servers = numbersOption(options, 'servers', [9, 23, 100, 1_000]);
    const routes = numbersOption(options, 'routes', [10, 1_000, 10_000]);
    return Promise.resolve({
      balance: servers.map(count => ({
        servers: count,
        chosenUs: balanceUs(
          new LeastExpectedCostBalancer('dc-0'),
          count,
          times,
        ),
        roundRobinUs: balanceUs(new RoundRobinBalancer(), count, times),
      })),
      match: routes.map(count => ({
        routes: count,
        matchUs: matchUs(count, times),
      })),
      admissionUs: admitUs(times),
      fingerprintUs: fingerprintUs(times),
    });
  }
}

export const bench: Bench = new DecisionsBench();
