import {expect} from 'chai';

import {
  applyWrites,
  canonicalJson,
  diffResources,
  digestAfter,
  digestOf,
  EMPTY_DIGEST,
  makeResource,
  writesDigest,
} from '../src/index.js';
import type {Resource, ResourceWrite} from '../src/index.js';

function customer(name: string, prepaidCalls = 1, team = 'a'): Resource {
  return makeResource(team, 'customer', name, {prepaidCalls});
}

function setOf(...resources: Resource[]): Map<Resource['key'], Resource> {
  return new Map(resources.map(resource => [resource.key, resource]));
}

const BEFORE = setOf(customer('x'), customer('y'), customer('z', 1, 'b'));

describe('canonicalJson', () => {
  it('does not depend on the order of properties', () => {
    expect(canonicalJson({b: 1, a: [2, {d: 3, c: 4}]})).to.equal(
      canonicalJson({a: [2, {c: 4, d: 3}], b: 1}),
    );
  });
});

describe('digest', () => {
  const cases: {name: string; writes: ResourceWrite[]}[] = [
    {name: 'an addition', writes: [write(customer('w'))]},
    {name: 'a change', writes: [write(customer('x', 2))]},
    {name: 'a removal', writes: [{key: customer('y').key, resource: null}]},
    {
      name: 'a removal of a missing resource',
      writes: [{key: 'a/route/q', resource: null}],
    },
    {
      name: 'two writes of a key',
      writes: [write(customer('x', 2)), write(customer('x', 3))],
    },
  ];
  for (const {name, writes: changes} of cases) {
    it(`is updated to that of the resulting set after ${name}`, () => {
      const digest = digestAfter(digestOf(BEFORE), BEFORE, changes);
      expect(digest).to.equal(digestOf(applyWrites(BEFORE, changes)));
    });
  }

  it('equals that of the empty set after all resources are removed', () => {
    const removals = [...BEFORE.keys()].map(key => ({key, resource: null}));
    const digest = digestAfter(digestOf(BEFORE), BEFORE, removals);
    expect(digest).to.equal(EMPTY_DIGEST);
  });

  it('distinguishes a removal from no write', () => {
    const removal = {key: customer('x').key, resource: null};
    expect(writesDigest([removal])).not.to.equal(writesDigest([]));
  });
});

describe('diffResources', () => {
  it('returns only the differences within the given team', () => {
    const desired = [customer('x'), customer('w'), customer('y', 9)];
    const diff = diffResources(BEFORE, 'a', desired);
    expect(diff.map(({key}) => key)).to.deep.equal([
      'a/customer/w',
      'a/customer/y',
    ]);
    const none = diffResources(BEFORE, 'a', []);
    expect(none.map(({key, resource}) => [key, resource])).to.deep.equal([
      ['a/customer/x', null],
      ['a/customer/y', null],
    ]);
  });
});

function write(resource: Resource): ResourceWrite {
  return {key: resource.key, resource};
}
