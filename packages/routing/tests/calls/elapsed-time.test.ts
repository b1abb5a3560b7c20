import {expect} from 'chai';

import {ElapsedTimeEstimator} from '../../src/index.js';

/** `count` callers that state the same time in ms. */
function callers(count: number, remainingMs: number): number[] {
  return Array.from({length: count}, () => remainingMs);
}

describe('ElapsedTimeEstimator', () => {
  const cases: {title: string; stated: number[]; elapsedMs: number}[] = [
    {title: 'the first caller', stated: [1500], elapsedMs: 0},
    {
      title: 'a caller that has come back',
      stated: [...callers(9, 1500), 1200],
      elapsedMs: 300,
    },
    {
      title: 'a caller that has come back among many who have',
      stated: [...callers(12, 1500), ...callers(18, 1250), 1200],
      elapsedMs: 300,
    },
    {
      title: 'a difference of chance',
      stated: [...callers(9, 1500), 1490],
      elapsedMs: 0,
    },
    {
      title: 'no time stated',
      stated: [...callers(9, 1500), Infinity],
      elapsedMs: 0,
    },
    {
      title: 'a usual caller after one that waits longer than all others',
      stated: [...callers(9, 1500), 10_000, 1500],
      elapsedMs: 0,
    },
    {
      title: 'callers that wait less than those of some time ago',
      stated: [...callers(32, 1500), ...callers(32, 900)],
      elapsedMs: 0,
    },
  ];
  for (const {title, stated, elapsedMs} of cases) {
    it(`tells ${elapsedMs} ms for ${title}`, () => {
      const estimator = new ElapsedTimeEstimator();
      const told = stated.map(ms => estimator.estimateElapsedMs('r-1', ms));
      expect(told.at(-1)).to.equal(elapsedMs);
    });
  }

  it('keeps routes apart', () => {
    const estimator = new ElapsedTimeEstimator();
    for (const ms of callers(9, 1500)) estimator.estimateElapsedMs('r-1', ms);
    expect(estimator.estimateElapsedMs('r-2', 800)).to.equal(0);
  });
});
