import {expect} from 'chai';

import {digestOf} from '@turmericmill/config';
import type {ResourceWrite} from '@turmericmill/config';

import {buildPublication} from '../../src/index.js';
import type {Publication} from '../../src/index.js';
import {PART_DEADLINE_RECORDS} from '../../src/fold/pending-parts.js';
import {
  callClass,
  customer,
  FoldedLog,
  group,
  put,
  remove,
  route,
  service,
  startedLog,
} from '../fixtures.js';

function largePublication(id: string, base: number, count = 9): Publication {
  const name = (index: number) => `r${index}`;
  const writes = Array.from({length: count}, (unused, index) =>
    route('a', name(index), 's', {
      path: `/${index}`,
      headers: {'x-long': 'y'.repeat(60_000)},
    }),
  );
  return {id, team: 'a', author: 'tester', base, writes: put(...writes)};
}

describe('foldRecord', () => {
  it('accepts a publication and updates the digest and the version', () => {
    const log = startedLog();
    expect(log.state.version).to.equal(2);
    expect(log.state.digest).to.equal(digestOf(log.state.resources));
    expect([...log.state.resources.keys()].sort()).toMatchSnapshot();
  });

  const rejections: {
    name: string;
    team: string;
    writes: ResourceWrite[];
    fields?: Partial<Publication>;
    reason: string;
  }[] = [
    {
      name: 'a write-write conflict',
      team: 'a',
      writes: put(service('a', 's', {timeoutMs: 1})),
      fields: {base: 0},
      reason: 'conflict',
    },
    {
      name: 'a reference to a resource that changed since the base',
      team: 'b',
      writes: put(route('b', 'r', 'a/s')),
      fields: {base: 0},
      reason: 'conflict',
    },
    {
      name: 'a route to a missing service',
      team: 'b',
      writes: put(route('b', 'r', 'a/none')),
      reason: 'dangling-reference',
    },
    {
      name: 'the removal of a service in use',
      team: 'a',
      writes: remove(service('a', 's')),
      reason: 'dangling-reference',
    },
    {
      name: 'a route whose match another team already uses',
      team: 'b',
      writes: put(route('b', 'r', 'a/s', {path: '/a/r'})),
      reason: 'shadowed-route',
    },
    {
      name: "a write in another team's namespace",
      team: 'b',
      writes: put(customer('a', 'x')),
      reason: 'invalid-write',
    },
    {
      name: 'a resource written twice',
      team: 'a',
      writes: put(customer('a', 'x'), customer('a', 'x')),
      reason: 'invalid-write',
    },
    {
      name: 'a malformed spec',
      team: 'a',
      writes: put(customer('a', 'x', -5)),
      reason: 'invalid-write',
    },
    {
      name: 'a base above the last accepted version',
      team: 'a',
      writes: put(customer('a', 'x')),
      fields: {base: 99},
      reason: 'unknown-base',
    },
  ];
  for (const {name, team, writes, fields, reason} of rejections) {
    it(`rejects ${name} and leaves the set unchanged`, () => {
      const log = startedLog();
      const before = log.state;
      const verdict = log.publish(team, writes, fields);
      expect(verdict).to.include({status: 'rejected', reason});
      expect(log.state.resources).to.equal(before.resources);
      expect(log.state.version).to.equal(before.version);
    });
  }

  it('accepts the removal of a service together with its routes', () => {
    const log = startedLog();
    const writes = remove(service('a', 's'), route('a', 'r', 's'));
    expect(log.publish('a', writes).status).to.equal('accepted');
    expect(log.state.digest).to.equal(digestOf(log.state.resources));
  });

  it('accepts concurrent publications of teams that share no resources', () => {
    const log = startedLog();
    const base = log.state.version;
    for (const team of ['b', 'd', 'e']) {
      const verdict = log.publish(team, put(group(team, 'g')), {base});
      expect(verdict.status).to.equal('accepted');
    }
  });

  it('ignores a second publication with the same id but other writes', () => {
    const log = startedLog();
    const again = log.publish('a', put(customer('a', 'x')), {id: 'p1'});
    expect(again).to.deep.equal({
      status: 'duplicate',
      id: 'p1',
      firstOffset: 0,
    });
  });

  const malformed = ['', '{', 'null', '[]', '{"format": "other"}'];
  for (const body of malformed) {
    it(`ignores the record ${JSON.stringify(body)}`, () => {
      const log = startedLog();
      expect(log.append(body)).to.include({reason: 'malformed'});
    });
  }

  it('rejects writes that do not match the digest', () => {
    const log = startedLog();
    const [body = ''] = buildPublication({
      id: 'x',
      team: 'a',
      author: 'tester',
      base: 2,
      writes: put(customer('a', 'x', 5)),
    }).unwrap();
    const verdict = log.append(body.replace('Calls":5', 'Calls":6'));
    expect(verdict).to.include({reason: 'digest-mismatch'});
  });
});

describe('foldRecord with a multi-record publication', () => {
  const orders: {name: string; order: number[]}[] = [
    {name: 'in order', order: [0, 1, 2]},
    {name: 'out of order', order: [2, 0, 1]},
    {name: 'with repeated records', order: [0, 0, 2, 2, 1, 1, 0]},
  ];
  for (const {name, order} of orders) {
    it(`accepts it only once complete: ${name}`, () => {
      const log = startedLog();
      const bodies = buildPublication(largePublication('big', 2)).unwrap();
      expect(bodies.length).to.equal(3);
      const statuses = order.map(part => log.append(bodies[part]!).status);
      expect(statuses).toMatchSnapshot();
      expect(log.state.resources.size).to.equal(4 + 9);
      expect(log.state.pending).to.deep.equal([]);
    });
  }

  it('expires it if its records do not arrive in time', () => {
    const log = startedLog();
    const [first, ...rest] = buildPublication(
      largePublication('big', 2),
    ).unwrap();
    log.append(first!);
    for (let i = 0; i <= PART_DEADLINE_RECORDS; i++) log.append('{}');
    expect(log.state.pending).to.deep.equal([]);
    const statuses = rest.map(body => log.append(body).status);
    expect(statuses).to.deep.equal(['duplicate', 'duplicate']);
  });

  it('bounds the total size of incomplete publications', () => {
    const log = startedLog();
    for (let i = 0; i < 100; i++) {
      const publication = largePublication(`big${i}`, 2);
      log.append(buildPublication(publication).unwrap()[0]!);
    }
    const kept = log.state.pending.reduce((sum, {characters}) => {
      return sum + characters;
    }, 0);
    expect(kept).to.be.at.most(17 * 1024 * 1024);
  });
});

describe('foldRecord with a bounded change history', () => {
  it('rejects a base below the horizon', () => {
    const log = new FoldedLog();
    log.publish('a', put(customer('a', 'x')));
    for (let i = 0; i < 4096; i++) {
      log.publish('a', put(customer('a', `n${i % 50}`, i)));
    }
    const verdict = log.publish('b', put(customer('b', 'x')), {base: -1});
    expect(verdict).to.include({reason: 'base-too-old'});
    expect(log.state.history.recentIds.size).to.equal(4096);
  });

  it('keeps a bounded number of tombstones', () => {
    const log = new FoldedLog();
    log.publish('platform', put(callClass('platform', 'c')));
    for (let round = 0; round < 5; round++) {
      const resources = Array.from({length: 1000}, (unused, index) =>
        customer('a', `n${round}-${index}`),
      );
      log.publish('a', put(...resources));
      log.publish('a', remove(...resources));
    }
    expect(log.state.history.changedAt.size).to.equal(1 + 4096);
    expect(log.state.history.horizon).to.equal(2);
    const verdict = log.publish('b', put(customer('b', 'x')), {base: 2});
    expect(verdict.status).to.equal('accepted');
  });
});
