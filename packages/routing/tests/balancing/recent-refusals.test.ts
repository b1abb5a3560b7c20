import {expect} from 'chai';

import {RecentRefusals} from '../../src/index.js';

const OFFER = {server: 's-1', rank: 1, acceptsLate: false, slackMs: 300};

describe('RecentRefusals', () => {
  it('covers the same offer for a moment', () => {
    const refusals = new RecentRefusals();
    refusals.record(OFFER, 0);
    expect(refusals.covers(OFFER, 79)).to.equal(true);
    expect(refusals.covers(OFFER, 80)).to.equal(false);
  });

  const CASES: [string, Partial<typeof OFFER>, boolean][] = [
    ['a less urgent call', {rank: 2}, true],
    ['a more urgent call', {rank: 0}, false],
    ['a call that takes a late answer', {acceptsLate: true}, false],
    ['another server', {server: 's-2'}, false],
    ['a call with less time', {slackMs: 200}, true],
    ['a call with more time', {slackMs: 400}, false],
  ];
  for (const [name, change, covered] of CASES) {
    it(`${covered ? 'covers' : 'does not cover'} ${name}`, () => {
      const refusals = new RecentRefusals();
      refusals.record(OFFER, 0);
      expect(refusals.covers({...OFFER, ...change}, 10)).to.equal(covered);
    });
  }

  it('does not cover calls on time once late ones are refused', () => {
    const refusals = new RecentRefusals();
    refusals.record({...OFFER, acceptsLate: true}, 0);
    expect(refusals.covers(OFFER, 10)).to.equal(false);
    expect(refusals.covers({...OFFER, acceptsLate: true}, 10)).to.equal(true);
  });

  it('keeps what covers more when a call with less time is refused', () => {
    const refusals = new RecentRefusals();
    refusals.record(OFFER, 0);
    refusals.record({...OFFER, slackMs: 10}, 20);
    expect(refusals.covers(OFFER, 70)).to.equal(true);
  });

  it('forgets a refusal when the server takes a call', () => {
    const refusals = new RecentRefusals();
    refusals.record(OFFER, 0);
    refusals.clear('s-1');
    expect(refusals.covers(OFFER, 10)).to.equal(false);
  });
});
