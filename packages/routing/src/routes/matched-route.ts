/** The settings of a route for a call, with all references resolved. */

import {resolveReference} from '@turmericmill/config';
import type {
  BackendServerGroupSpec,
  ClassPriority,
  ClassSpec,
  Repetition,
  Resource,
  ResourceKey,
  ResourceMap,
  ResourceOf,
  ServiceSpec,
} from '@turmericmill/config';

/** A route with its service, class and group. Immutable. */
export interface MatchedRoute {
  route: ResourceKey;
  service: ResourceKey;
  class: ResourceKey;
  priority: ClassPriority;
  /** Weight of the class in sharing slots within its priority; at least 1. */
  weight: number;
  /** Backend server group as `team/name`. */
  group: string;
  groupSpec: BackendServerGroupSpec;
  /** Time in ms within which the call must be answered. */
  timeoutMs: number;
  repetition: Repetition;
  /** Retries allowed per hundred first attempts at the service. */
  retryBudgetPercent: number;
}

/** Converts a resource key `team/kind/name` to a group key `team/name`. */
export function groupKey(key: ResourceKey): string {
  const parts = key.split('/');
  return `${parts[0] ?? ''}/${parts[2] ?? ''}`;
}

function find(
  resources: ResourceMap,
  team: string,
  kind: 'service' | 'class' | 'backendServerGroup',
  reference: string,
): Resource | undefined {
  return resources.get(resolveReference(team, kind, reference));
}

function combine(
  route: ResourceOf<'route'>,
  service: Resource & {spec: ServiceSpec},
  cls: Resource & {spec: ClassSpec},
  group: Resource & {spec: BackendServerGroupSpec},
): MatchedRoute {
  return {
    route: route.key,
    service: service.key,
    class: cls.key,
    priority: cls.spec.priority,
    weight: cls.spec.weight,
    group: groupKey(group.key),
    groupSpec: group.spec,
    timeoutMs: route.spec.timeoutMs ?? service.spec.timeoutMs,
    repetition: route.spec.repetition,
    retryBudgetPercent: service.spec.retryBudgetPercent,
  };
}

/** Resolves a route; undefined if the target of a reference is missing. */
export function resolveRoute(
  resources: ResourceMap,
  route: ResourceOf<'route'>,
): MatchedRoute | undefined {
  const {team, spec} = route;
  const service = find(resources, team, 'service', spec.service);
  const cls = find(resources, team, 'class', spec.class);
  if (service?.kind !== 'service' || cls?.kind !== 'class') return undefined;
  const group = find(
    resources,
    service.team,
    'backendServerGroup',
    service.spec.backendServerGroup,
  );
  if (group?.kind !== 'backendServerGroup') return undefined;
  return combine(route, service, cls, group);
}
