/** Generates the changes that many teams publish concurrently, from a seed. */

import {makeResource} from '@turmericmill/config';
import type {
  Resource,
  ResourceMap,
  ResourceWrite,
  RouteMatch,
} from '@turmericmill/config';
import type {RandomSource} from '@turmericmill/utils';

/** Number of services in the initial resources of each team. */
const SERVICES_PER_TEAM = 20;

/** Classes of the platform team that all teams may use. */
const SHARED_CLASSES = ['interactive', 'bulk'];

/** Share of each kind of change, in percent. */
const CHANGE_SHARES: readonly {kind: ChangeKind; share: number}[] = [
  {kind: 'tune-service', share: 35},
  {kind: 'change-route', share: 30},
  {kind: 'top-up-customer', share: 15},
  {kind: 'route-to-other-team', share: 10},
  {kind: 'replace-service', share: 7},
  {kind: 'change-class', share: 3},
];

type ChangeKind =
  | 'tune-service'
  | 'change-route'
  | 'top-up-customer'
  | 'route-to-other-team'
  | 'replace-service'
  | 'change-class';

/** A change that one team publishes. */
export interface PlannedChange {
  team: string;
  writes: ResourceWrite[];
}

/** Returns the initial resources of each team, by team. */
export function initialResources(teams: number): Map<string, Resource[]> {
  const byTeam = new Map<string, Resource[]>();
  byTeam.set(
    'platform',
    SHARED_CLASSES.map(name => callClass(name, 1)),
  );
  for (let index = 0; index < teams; index++) {
    const team = teamName(index);
    const resources = [
      group(team),
      customer(team, 0),
      ...Array.from({length: SERVICES_PER_TEAM}, (unused, n) => [
        service(team, n, 800),
        route(team, n, `s${n}`, {path: `/${team}/${n}`}),
      ]).flat(),
    ];
    byTeam.set(team, resources);
  }
  return byTeam;
}

/** Draws a random change of the current resource set. */
export function planChange(
  set: ResourceMap,
  teams: number,
  serial: number,
  random: RandomSource,
): PlannedChange {
  const team = teamName(random.nextInt(teams));
  const n = random.nextInt(SERVICES_PER_TEAM);
  switch (drawKind(random)) {
    case 'tune-service':
      return {team, writes: [put(service(team, n, 800 + serial))]};
    case 'change-route': {
      const match = {path: `/${team}/${n}`, headers: {'x-v': `${serial}`}};
      return {team, writes: [put(route(team, n, `s${n}`, match))]};
    }
    case 'top-up-customer':
      return {team, writes: [put(customer(team, serial))]};
    case 'route-to-other-team':
      return {
        team,
        writes: [routeToOtherTeam(set, team, teams, serial, random)],
      };
    case 'replace-service':
      return {team, writes: toggleService(set, team, n)};
    case 'change-class': {
      const name = random.pick(SHARED_CLASSES) ?? 'bulk';
      const writes = [put(callClass(name, 1 + (serial % 9)))];
      return {team: 'platform', writes};
    }
  }
}

function drawKind(random: RandomSource): ChangeKind {
  let remaining = random.nextInt(100);
  for (const {kind, share} of CHANGE_SHARES) {
    if (remaining < share) return kind;
    remaining -= share;
  }
  return 'tune-service';
}

/** Removes a service and its route, or writes both if either is absent. */
function toggleService(
  set: ResourceMap,
  team: string,
  n: number,
): ResourceWrite[] {
  const pair = [
    service(team, n, 800),
    route(team, n, `s${n}`, {path: `/${team}/${n}`}),
  ];
  const isPresent = pair.every(({key}) => set.has(key));
  if (!isPresent) return pair.map(put);
  return pair.map(({key}) => ({key, resource: null}));
}

/**
 * Writes a route to a service of a random team, which may be `team` itself. The
 * service exists unless that team has none at present.
 */
function routeToOtherTeam(
  set: ResourceMap,
  team: string,
  teams: number,
  serial: number,
  random: RandomSource,
): ResourceWrite {
  const otherTeam = teamName(random.nextInt(teams));
  const names = Array.from({length: SERVICES_PER_TEAM}, (unused, n) => `s${n}`);
  const present = names.filter(name => set.has(`${otherTeam}/service/${name}`));
  const name = random.pick(present) ?? 's0';
  const routeNumber = SERVICES_PER_TEAM + (serial % SERVICES_PER_TEAM);
  const match = {path: `/${team}/foreign/${routeNumber}`};
  return put(route(team, routeNumber, `${otherTeam}/${name}`, match));
}

function teamName(index: number): string {
  return `team-${index}`;
}

/** Returns the write that adds or replaces a resource. */
function put(resource: Resource): ResourceWrite {
  return {key: resource.key, resource};
}

function group(team: string): Resource {
  const spec = {maxSlots: 9, maxConnections: 130, slowStartMs: 10_000};
  return makeResource(team, 'backendServerGroup', 'servers', spec);
}

function customer(team: string, serial: number): Resource {
  const spec = {prepaidCalls: 1_000_000 + serial};
  return makeResource(team, 'customer', 'main', spec);
}

function callClass(name: string, weight: number): Resource {
  const priority = name === 'bulk' ? 'bulk' : 'interactive';
  return makeResource('platform', 'class', name, {priority, weight});
}

function service(team: string, n: number, timeoutMs: number): Resource {
  return makeResource(team, 'service', `s${n}`, {
    backendServerGroup: 'servers',
    timeoutMs,
    retryBudgetPercent: 10,
  });
}

function route(
  team: string,
  n: number,
  serviceName: string,
  match: RouteMatch,
): Resource {
  return makeResource(team, 'route', `r${n}`, {
    match,
    service: serviceName,
    class: 'platform/interactive',
    repetition: 'at-most-once',
  });
}
