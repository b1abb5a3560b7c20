import {resourceKey} from '@turmericmill/config';
import type {
  Resource,
  ResourceKey,
  ResourceMap,
  RouteMatch,
} from '@turmericmill/config';
import {expect} from 'chai';

import {RoutingTable} from '../../src/routes/routing-table.js';
import type {MatchRequest} from '../../src/routes/routing-table.js';

const shared: Resource[] = [
  {
    key: resourceKey('city', 'class', 'desk'),
    team: 'city',
    kind: 'class',
    name: 'desk',
    spec: {priority: 'interactive', weight: 2},
  },
  {
    key: resourceKey('vault', 'backendServerGroup', 'images'),
    team: 'vault',
    kind: 'backendServerGroup',
    name: 'images',
    spec: {maxSlots: 9, maxConnections: 130, slowStartMs: 1000},
  },
  {
    key: resourceKey('vault', 'service', 'images'),
    team: 'vault',
    kind: 'service',
    name: 'images',
    spec: {
      backendServerGroup: 'images',
      timeoutMs: 2000,
      retryBudgetPercent: 10,
    },
  },
];

function routeResource(name: string, match: RouteMatch, service: string) {
  const key = resourceKey('city', 'route', name);
  const resource: Resource = {
    key,
    team: 'city',
    kind: 'route',
    name,
    spec: {match, service, class: 'desk', repetition: 'at-most-once'},
  };
  return resource;
}

function tableOf(matches: Record<string, RouteMatch>): RoutingTable {
  const routes = Object.entries(matches).map(([name, match]) =>
    routeResource(name, match, 'vault/images'),
  );
  return RoutingTable.build(mapOf([...shared, ...routes]));
}

function mapOf(resources: Resource[]): ResourceMap {
  return new Map<ResourceKey, Resource>(resources.map(r => [r.key, r]));
}

const table = tableOf({
  any: {},
  exact: {path: '/a/b'},
  prefix: {pathPrefix: '/a'},
  deep: {pathPrefix: '/a/b'},
  slash: {pathPrefix: '/s/'},
  host: {host: 'Desk.example', pathPrefix: '/a'},
  header: {pathPrefix: '/a', headers: {'X-Kind': 'image'}},
  method: {pathPrefix: '/a', methods: ['POST', 'PUT']},
  oneMethod: {pathPrefix: '/a', methods: ['PUT']},
});

const cases: [string, Partial<MatchRequest>, string][] = [
  ['prefers the exact path to a prefix', {path: '/a/b'}, 'exact'],
  ['prefers the longest prefix', {path: '/a/b/c'}, 'deep'],
  ['matches the prefix itself', {path: '/a'}, 'prefix'],
  ['matches a prefix only at a segment boundary', {path: '/ab'}, 'any'],
  ['ignores the query', {path: '/a/b?x=/y'}, 'exact'],
  ['matches a prefix with a trailing slash', {path: '/s'}, 'slash'],
  [
    'prefers the host to the path',
    {path: '/a/b', host: 'desk.example:80'},
    'host',
  ],
  [
    'falls back to routes that name no host',
    {path: '/z', host: 'desk.example'},
    'any',
  ],
  ['matches a header', {path: '/a/x', headers: {'x-kind': 'image'}}, 'header'],
  [
    'matches one of several header values',
    {path: '/a', headers: {'x-kind': ['z', 'image']}},
    'header',
  ],
  [
    'does not match another header value',
    {path: '/a', headers: {'x-kind': 'z'}},
    'prefix',
  ],
  ['matches a method', {path: '/a/x', method: 'POST'}, 'method'],
  ['prefers the fewest methods', {path: '/a/x', method: 'PUT'}, 'oneMethod'],
];

describe('RoutingTable', () => {
  for (const [title, req, expected] of cases) {
    it(title, () => {
      const base = {host: 'other', method: 'GET', path: '/', headers: {}};
      const matched = table.match({...base, ...req});
      expect(matched?.route).to.equal(`city/route/${expected}`);
    });
  }

  it('resolves service, class and group', () => {
    const req = {host: 'h', method: 'GET', path: '/a/b', headers: {}};
    expect(table.match(req)).toMatchSnapshot();
  });

  it('returns no route if none matches the path', () => {
    const req = {host: 'h', method: 'GET', path: '/b', headers: {}};
    expect(tableOf({a: {pathPrefix: '/a'}}).match(req)).to.equal(undefined);
  });

  it('leaves out and lists routes with an unresolved reference', () => {
    const route = routeResource('lost', {}, 'vault/none');
    const incomplete = RoutingTable.build(mapOf([...shared, route]));
    expect(incomplete.unresolved).to.deep.equal(['city/route/lost']);
  });
});
