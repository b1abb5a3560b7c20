import {expect} from 'chai';

import {
  DEADLINE_HEADER,
  formatLimits,
  HOPS_HEADER,
  readLimits,
} from '../../src/calls/deadline.js';

const NOW_MS = 5_000;
const TIMEOUT_MS = 800;

interface LimitCase {
  name: string;
  deadline?: string;
  hops?: string;
}

function read({deadline, hops}: LimitCase) {
  const headers = {
    ...(deadline !== undefined && {[DEADLINE_HEADER]: deadline}),
    ...(hops !== undefined && {[HOPS_HEADER]: hops}),
  };
  return readLimits(headers, TIMEOUT_MS, NOW_MS);
}

describe('readLimits', () => {
  const valid: (LimitCase & {deadlineMs: number; expectedHops: number})[] = [
    {name: 'a call without the headers', deadlineMs: 5_800, expectedHops: 0},
    {
      name: 'less time than the timeout',
      deadline: '30',
      deadlineMs: 5_030,
      expectedHops: 0,
    },
    {
      name: 'more time than the timeout',
      deadline: '9000',
      deadlineMs: 5_800,
      expectedHops: 0,
    },
    {
      name: 'a chain of 25 nodes',
      hops: '24',
      deadlineMs: 5_800,
      expectedHops: 24,
    },
    {name: 'the last hop', hops: '31', deadlineMs: 5_800, expectedHops: 31},
  ];
  for (const {name, deadlineMs, expectedHops, ...rest} of valid) {
    it(`accepts ${name}`, () => {
      const limits = read({name, ...rest}).unwrap();
      expect(limits).to.deep.equal({deadlineMs, hops: expectedHops});
    });
  }

  const invalid: (LimitCase & {kind: string})[] = [
    {
      name: 'a deadline that is text',
      deadline: 'soon',
      kind: 'malformed-deadline',
    },
    {name: 'a negative deadline', deadline: '-1', kind: 'malformed-deadline'},
    {
      name: 'a fractional deadline',
      deadline: '1.5',
      kind: 'malformed-deadline',
    },
    {name: 'an empty deadline', deadline: '', kind: 'malformed-deadline'},
    {name: 'two deadlines', deadline: '10, 20', kind: 'malformed-deadline'},
    {
      name: 'a deadline of 16 digits',
      deadline: '9'.repeat(16),
      kind: 'malformed-deadline',
    },
    {name: 'an expired deadline', deadline: '0', kind: 'expired'},
    {name: 'a hexadecimal hop count', hops: '0x2', kind: 'malformed-hops'},
    {
      name: 'a hop count that indicates a loop',
      hops: '32',
      kind: 'too-many-hops',
    },
  ];
  for (const {name, kind, ...rest} of invalid) {
    it(`refuses ${name}`, () => {
      expect(read({name, ...rest}).unwrapErr().kind).to.equal(kind);
    });
  }

  it('forwards the remaining time and the hop count through 25 hops', () => {
    let headers = {};
    for (let hop = 0; hop < 25; hop++) {
      const limits = readLimits(headers, TIMEOUT_MS, hop * 10).unwrap();
      expect(limits).to.deep.equal({deadlineMs: TIMEOUT_MS, hops: hop});
      headers = formatLimits(limits, (hop + 1) * 10);
    }
  });
});
