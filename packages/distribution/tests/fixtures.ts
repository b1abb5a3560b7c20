/** Resources and publications for tests. */

import {makeResource} from '@turmericmill/config';
import type {
  Resource,
  ResourceWrite,
  RouteMatch,
  ServiceSpec,
} from '@turmericmill/config';

import {buildPublication, emptyConfigState, foldRecord} from '../src/index.js';
import type {
  CertificationPolicy,
  ConfigState,
  Publication,
  Verdict,
} from '../src/index.js';

export function group(team: string, name: string): Resource {
  const spec = {maxSlots: 9, maxConnections: 130, slowStartMs: 10_000};
  return makeResource(team, 'backendServerGroup', name, spec);
}

export function callClass(team: string, name: string, weight = 1): Resource {
  const spec = {priority: 'interactive' as const, weight};
  return makeResource(team, 'class', name, spec);
}

export function customer(
  team: string,
  name: string,
  prepaidCalls = 1,
): Resource {
  return makeResource(team, 'customer', name, {prepaidCalls});
}

export function service(
  team: string,
  name: string,
  spec: Partial<ServiceSpec> = {},
): Resource {
  return makeResource(team, 'service', name, {
    backendServerGroup: 'g',
    timeoutMs: 800,
    retryBudgetPercent: 10,
    ...spec,
  });
}

export function route(
  team: string,
  name: string,
  to: string,
  match: RouteMatch = {path: `/${team}/${name}`},
): Resource {
  return makeResource(team, 'route', name, {
    match,
    service: to,
    class: 'platform/c',
    repetition: 'at-most-once',
  });
}

export function put(...resources: Resource[]): ResourceWrite[] {
  return resources.map(resource => ({key: resource.key, resource}));
}

export function remove(...resources: Resource[]): ResourceWrite[] {
  return resources.map(resource => ({key: resource.key, resource: null}));
}

/** A log whose records are folded as they are appended. */
export class FoldedLog {
  state: ConfigState = emptyConfigState();
  readonly bodies: string[] = [];
  private publishedCount = 0;

  constructor(private readonly policy?: CertificationPolicy) {}

  append(body: string): Verdict {
    const offset = this.bodies.push(body) - 1;
    const step = foldRecord(this.state, {offset, body}, this.policy);
    this.state = step.state;
    return step.verdict;
  }

  publish(
    team: string,
    writes: ResourceWrite[],
    fields: Partial<Publication> = {},
  ): Verdict {
    const publication = {
      id: `p${++this.publishedCount}`,
      team,
      author: 'tester',
      base: this.state.version,
      writes,
      ...fields,
    };
    const bodies = buildPublication(publication).unwrap();
    return bodies.map(body => this.append(body)).at(-1)!;
  }
}

/** A log with the publications that most tests start from. */
export function startedLog(policy?: CertificationPolicy): FoldedLog {
  const log = new FoldedLog(policy);
  log.publish('platform', put(callClass('platform', 'c')));
  log.publish('a', put(group('a', 'g'), service('a', 's')));
  log.publish('a', put(route('a', 'r', 's')));
  return log;
}
