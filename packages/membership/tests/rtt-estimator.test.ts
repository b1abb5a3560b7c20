import {expect} from 'chai';

import {RttEstimator} from '../src/rtt-estimator.js';

/** Target, RTT in ms and time in ms of a sample. */
type Sample = [string, number, number];

const NOW_MS = 10_000;

interface RttCase {
  name: string;
  samples: Sample[];
  expectedRttMs: number;
}

const CASES: RttCase[] = [
  {name: 'is 0 before the first sample', samples: [], expectedRttMs: 0},
  {
    name: 'is that of the target when others are faster',
    samples: [
      ['a', 900, 9_900],
      ['b', 2, 9_900],
    ],
    expectedRttMs: 900,
  },
  {
    name: 'is the minimum of all others for a target without samples',
    samples: [
      ['b', 700, 9_900],
      ['c', 600, 9_900],
    ],
    expectedRttMs: 600,
  },
  {
    name: 'increases at once',
    samples: [
      ['a', 100, 9_000],
      ['a', 900, 9_900],
    ],
    expectedRttMs: 900,
  },
  {
    name: 'decreases by half',
    samples: [
      ['a', 900, 9_000],
      ['a', 100, 9_900],
    ],
    expectedRttMs: 500,
  },
  {
    name: 'expires',
    samples: [['a', 900, NOW_MS - 3_001]],
    expectedRttMs: 0,
  },
  {
    name: 'has an upper bound',
    samples: [['a', 4_000, 9_900]],
    expectedRttMs: 1_500,
  },
];

describe('RttEstimator', () => {
  for (const {name, samples, expectedRttMs} of CASES) {
    it(name, () => {
      const estimator = new RttEstimator();
      for (const sample of samples) estimator.record(...sample);
      expect(estimator.expectedRttMs('a', NOW_MS)).to.equal(expectedRttMs);
    });
  }

  it('is 0 after a pause has cleared the samples', () => {
    const estimator = new RttEstimator();
    estimator.record('a', 900, NOW_MS);
    estimator.clear();
    expect(estimator.expectedRttMs('a', NOW_MS)).to.equal(0);
  });
});
