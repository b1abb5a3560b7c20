import {expect} from 'chai';

import type {ResourceWrite} from '@turmericmill/config';

import {
  WholeSetPolicy,
  WriteAndReferencePolicy,
  WriteSetPolicy,
} from '../../src/index.js';
import type {Publication} from '../../src/index.js';
import {
  callClass,
  customer,
  put,
  remove,
  route,
  service,
  startedLog,
} from '../fixtures.js';

const POLICIES = [
  new WholeSetPolicy(),
  new WriteSetPolicy(),
  new WriteAndReferencePolicy(),
];

function publication(team: string, writes: ResourceWrite[]): Publication {
  return {id: 'late', team, author: 'tester', base: 2, writes};
}

describe('CertificationPolicy', () => {
  const races: {
    name: string;
    first: {team: string; writes: ResourceWrite[]};
    second: {team: string; writes: ResourceWrite[]};
    conflicts: boolean[];
  }[] = [
    {
      name: 'teams that share no resources',
      first: {team: 'b', writes: put(customer('b', 'x'))},
      second: {team: 'd', writes: put(customer('d', 'x'))},
      conflicts: [true, false, false],
    },
    {
      name: 'two writes of one resource',
      first: {team: 'a', writes: put(service('a', 's', {timeoutMs: 1}))},
      second: {team: 'a', writes: put(service('a', 's', {timeoutMs: 2}))},
      conflicts: [true, true, true],
    },
    {
      name: 'a removed service and a new route to it',
      first: {
        team: 'a',
        writes: remove(service('a', 's'), route('a', 'r', 's')),
      },
      second: {team: 'b', writes: put(route('b', 'r', 'a/s'))},
      conflicts: [true, false, true],
    },
    {
      name: 'a class with a changed weight and a new route that uses it',
      first: {
        team: 'platform',
        writes: put(callClass('platform', 'c', 9)),
      },
      second: {team: 'b', writes: put(route('b', 'r', 'a/s'))},
      conflicts: [true, false, true],
    },
  ];
  for (const {name, first, second, conflicts} of races) {
    it(`finds the conflicts of ${name}`, () => {
      const log = startedLog();
      expect(log.publish(first.team, first.writes).status).to.equal('accepted');
      const late = publication(second.team, second.writes);
      const found = POLICIES.map(
        policy => policy.findConflicts(late, log.state).length > 0,
      );
      expect(found).to.deep.equal(conflicts);
    });
  }

  it('permits write skew if only the write set is certified', () => {
    const statuses = POLICIES.map(policy => {
      const log = startedLog(policy);
      const base = log.state.version;
      log.publish('a', put(service('a', 's', {timeoutMs: 60_000})), {base});
      return log.publish('b', put(route('b', 'r', 'a/s')), {base}).status;
    });
    expect(statuses).to.deep.equal(['rejected', 'accepted', 'rejected']);
  });
});
