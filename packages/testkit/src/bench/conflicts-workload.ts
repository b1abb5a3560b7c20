/** Publications of many teams that race each other, drawn from a seed. */

import {makeResource} from '@turmericmill/config';
import type {
  Resource,
  ResourceMap,
  ResourceWrite,
  RouteMatch,
} from '@turmericmill/config';
import type {RandomSource} from '@turmericmill/utils';

/** Services that each team starts with. */
const SERVICES_PER_TEAM = 20;

/** Classes that the platform team offers to all. */
const SHARED_CLASSES = ['interactive', 'bulk'];

/** How often each kind of change is made, in parts of 100. */
const MIX: readonly {kind: ChangeKind; share: number}[] = [
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

/** A change that one team wants to make. */
export interface PlannedChange {
  team: string;
  writes: ResourceWrite[];
}

/** The teams' resources at the start, by team. */
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

/** Draws a change against `set`, as its team sees it now. */
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
      return {team, writes: [foreignRoute(set, team, teams, serial, random)]};
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
  let left = random.nextInt(100);
  for (const {kind, share} of MIX) {
    if (left < share) return kind;
    left -= share;
  }
  return 'tune-service';
}

/** Removes a service with its route, or brings both back. */
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

/** A route to a service of another team that is present now. */
function foreignRoute(
  set: ResourceMap,
  team: string,
  teams: number,
  serial: number,
  random: RandomSource,
): ResourceWrite {
  const other = teamName(random.nextInt(teams));
  const names = Array.from({length: SERVICES_PER_TEAM}, (unused, n) => `s${n}`);
  const present = names.filter(name => set.has(`${other}/service/${name}`));
  const name = random.pick(present) ?? 's0';
  const number = SERVICES_PER_TEAM + (serial % SERVICES_PER_TEAM);
  const match = {path: `/${team}/foreign/${number}`};
  return put(route(team, number, `${other}/${name}`, match));
}

function teamName(index: number): string {
  return `team-${index}`;
}

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
  to: string,
  match: RouteMatch,
): Resource {
  return makeResource(team, 'route', `r${n}`, {
    match,
    service: to,
    class: 'platform/interactive',
    repetition: 'at-most-once',
  });
}
