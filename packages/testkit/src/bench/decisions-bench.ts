/** Measures the elapsed time of the decisions made for each call. */

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

/** Number of warm-up iterations as a share of the measured ones. */
const WARM_UP_SHARE = 0.2;
const CALL = {class: 'bench/class/control', priority: 'interactive'} as const;
const LOAD = {inFlight: 3, queued: 0, limit: 12, serviceMs: 20};

/** Returns the mean elapsed µs of one run of `action`, after a warm-up. */
function meanUs(iterations: number, action: (index: number) => void): number {
  for (let i = 0; i < iterations * WARM_UP_SHARE; i++) action(i);
  const startedMs = performance.now();
  for (let i = 0; i < iterations; i++) action(i);
  const elapsedMs = performance.now() - startedMs;
  return Number(((elapsedMs / iterations) * 1_000).toFixed(3));
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

function balanceUs(
  balancer: Balancer,
  count: number,
  iterations: number,
): number {
  const candidates = candidatesOf(count);
  const random = new SeededRandom(count);
  return meanUs(iterations, index => {
    const server = balancer.choose(candidates, CALL, index, random);
    if (!server) return;
    balancer.started(server, CALL, index);
    const result = {outcome: 'answered', latencyMs: 20, load: LOAD} as const;
    balancer.finished(server, CALL, result, index);
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
  return new Map(
    [...common, ...routes].map(resource => [resource.key, resource]),
  );
}

function matchUs(routes: number, iterations: number): number {
  const table = RoutingTable.build(routeResources(routes));
  return meanUs(iterations, index => {
    const i = index % routes;
    const host = `h${i % 100}:80`;
    const path = `/a/${i}/c/d?e=f`;
    table.match({host, method: 'GET', path, headers: {}});
  });
}

function admitUs(iterations: number): number {
  const admission = new Admission({slots: 12, connections: 130});
  return meanUs(iterations, id => {
    const call = {...CALL, id, weight: 1, fingerprint: '', suspect: false};
    admission.offer({...call, deadlineMs: id + 1_000}, id);
    admission.finished(id, 'answered', id + 1);
    admission.load(CALL);
  });
}

function fingerprintUs(iterations: number): number {
  const bodyStart = Buffer.alloc(512, 'x');
  const request = {method: 'POST', path: '/a', customer: 'c', bodyStart};
  return meanUs(iterations, () => fingerprint(request));
}

/** Measures each decision by itself in a loop. */
class DecisionsBench extends Bench {
  override readonly summary = 'CPU time of each decision made for a call';

  override run(options: BenchOptions): Promise<object> {
    const iterations = numberOption(options, 'times', 100_000);
    const servers = numbersOption(options, 'servers', [9, 23, 100, 1_000]);
    const routes = numbersOption(options, 'routes', [10, 1_000, 10_000]);
    return Promise.resolve({
      balance: servers.map(count => ({
        servers: count,
        chosenUs: balanceUs(
          new LeastExpectedCostBalancer('dc-0'),
          count,
          iterations,
        ),
        roundRobinUs: balanceUs(new RoundRobinBalancer(), count, iterations),
      })),
      match: routes.map(count => ({
        routes: count,
        matchUs: matchUs(count, iterations),
      })),
      admissionUs: admitUs(iterations),
      fingerprintUs: fingerprintUs(iterations),
    });
  }
}

export const bench: Bench = new DecisionsBench();
