import {expect} from 'chai';
import {formatFinding} from '@turmericmill/utils';

import {parseFileSet} from '../src/index.js';
import type {Resource, ResourceMap, SourceFile} from '../src/index.js';

const BASE = `{
  "classes": [{"name": "interactive", "priority": "interactive"}],
  "backendServerGroups": [
    {"name": "desk", "maxSlots": 9, "maxConnections": 130}
  ],
  "services": [
    {"name": "teller", "backendServerGroup": "desk", "timeoutMs": 800}
  ],
  "routes": [
    {
      "name": "lookup",
      "match": {"pathPrefix": "/cheques"},
      "service": "teller",
      "class": "interactive"
    }
  ]
}`;

function parse(texts: string[], others?: ResourceMap) {
  const files: SourceFile[] = texts.map((text, index) => ({
    file: `${index + 1}.json`,
    text,
  }));
  return parseFileSet('clearing', files, others);
}

function routes(...items: object[]): string {
  const full = items.map((item, index) => ({
    name: `r${index + 1}`,
    service: 'teller',
    class: 'interactive',
    ...item,
  }));
  return JSON.stringify({routes: full});
}

function othersOf(resources: Resource[]): ResourceMap {
  return new Map(resources.map(resource => [resource.key, resource]));
}

describe('parseFileSet', () => {
  it('fills in defaults', () => {
    expect(parse([BASE]).unwrap()).toMatchSnapshot();
  });

  it('accepts references to resources of other teams', () => {
    const others = parseFileSet('shared', [{file: 'a', text: BASE}]).unwrap();
    const text = routes({
      match: {path: '/x'},
      service: 'shared/teller',
      class: 'shared/interactive',
    });
    expect(parse([text], othersOf(others)).isOk()).to.equal(true);
  });

  const invalid: {name: string; texts: string[]}[] = [
    {name: 'malformed JSON', texts: ['{\n  "routes": [}', BASE]},
    {name: 'an empty file', texts: ['']},
    {name: 'an empty set', texts: ['{}']},
    {name: 'no file at all', texts: []},
    {
      name: 'unknown fields',
      texts: [BASE.replace('pathPrefix', 'pathPrefx')],
    },
    {name: 'an unknown section', texts: ['{"route": []}']},
    {name: 'missing fields', texts: ['{"services": [{"name": "a"}]}']},
    {
      name: 'values out of range',
      texts: ['{"classes": [{"name": "-", "priority": "low", "weight": 0}]}'],
    },
    {name: 'duplicate names across files', texts: [BASE, BASE]},
    {
      name: 'dangling references',
      texts: [BASE.replace('"desk", "timeoutMs', '"dask", "timeoutMs')],
    },
    {
      name: 'both path and prefix',
      texts: [BASE, routes({match: {path: '/a', pathPrefix: '/a'}})],
    },
    {
      name: 'routes with the same match',
      texts: [BASE, routes({match: {path: '/a'}}, {match: {path: '/a'}})],
    },
    {
      name: 'routes with the same methods in another order',
      texts: [
        BASE,
        routes(
          {match: {pathPrefix: '/a/', methods: ['GET', 'PUT']}},
          {match: {pathPrefix: '/a', methods: ['PUT', 'GET']}},
        ),
      ],
    },
    {
      name: 'hosts that differ in case alone',
      texts: [
        BASE,
        routes(
          {match: {host: 'A.example', path: '/a'}},
          {match: {host: 'a.example', path: '/a'}},
        ),
      ],
    },
  ];
  for (const {name, texts} of invalid) {
    it(`reports ${name}`, () => {
      const findings = parse(texts).unwrapErr();
      expect(findings.map(formatFinding)).toMatchSnapshot();
    });
  }

  const distinct: {name: string; first: object; second: object}[] = [
    {name: 'methods', first: {}, second: {methods: ['GET']}},
    {
      name: 'fewer methods',
      first: {methods: ['GET', 'PUT']},
      second: {methods: ['GET']},
    },
    {name: 'a header', first: {}, second: {headers: {'x-a': '1'}}},
    {name: 'a host', first: {}, second: {host: 'a.example'}},
    {name: 'a longer prefix', first: {}, second: {pathPrefix: '/a/b'}},
  ];
  for (const {name, first, second} of distinct) {
    it(`accepts two routes that differ by ${name}`, () => {
      const text = routes(
        {match: {pathPrefix: '/a', ...first}},
        {match: {pathPrefix: '/a', ...second}},
      );
      expect(parse([BASE, text]).isOk()).to.equal(true);
    });
  }
});
