import {expect} from 'chai';

import {ElapsedTimeEstimator} from '../../src/index.js';

/** Remaining times in ms of `count` callers that all state the same time. */
function callers(count: number, remainingMs: number): number[] {
  return Array.from({length: count}, () => remainingMs);
}

describe('ElapsedTimeEstimator', () => {
  const cases: {title: string; stated: number[]; elapsedMs: number}[] = [
    {title: 'the first caller', stated: [1500], elapsedMs: 0},
    {
      title: 'a retrying caller',
      stated: [...callers(9, 1500), 1200],
      elapsedMs: 300,
    },
    {
      title: 'a retrying caller among many others',
      stated: [...callers(12, 1500), ...callers(18, 1250), 1200],
      elapsedMs: 300,
    },
    {
      title: 'a difference within the tolerance',
      stated: [...callers(9, 1500), 1490],
      elapsedMs: 0,
    },
    {
      title: 'a caller that states no time',
      stated: [...callers(9, 1500), Infinity],
      elapsedMs: 0,
    },
    {
      title: 'a usual caller after one that waits longer than all others',
      stated: [...callers(9, 1500), 10_000, 1500],
      elapsedMs: 0,
    },
    {
      title: 'callers that all state less time than earlier ones',
      stated: [...callers(32, 1500), ...callers(32, 900)],
      elapsedMs: 0,
    },
  ];
  for (const {title, stated, elapsedMs} of cases) {
    it(`estimates ${elapsedMs} ms for ${title}`, () => {
      const estimator = new ElapsedTimeEstimator();
      const estimates = stated.map(ms =>
        estimator.estimateElapsedMs('r-1', ms),
      );
      expect(estimates.at(-1)).to.equal(elapsedMs);
    });
  }

  it('keeps the samples of each route separate', () => {
    const estimator = new ElapsedTimeEstimator();
    for (const ms of callers(9, 1500)) estimator.estimateElapsedMs('r-1', ms);
    expect(estimator.estimateElapsedMs('r-2', 800)).to.equal(0);
  });
});
