import {expect} from 'chai';

import {RttEstimator} from '../src/rtt-estimator.js';

/** Each sample: target, round trip in ms, time in ms. */
type Sample = [string, number, number];

const NOW_MS = 10_000;

interface RoundTripCase {
  name: string;
  samples: Sample[];
  expectedRttMs: number;
}

const CASES: RoundTripCase[] = [
  {name: 'is none before any answer', samples: [], expectedRttMs: 0},
  {
    name: 'is that of the target where others answer at once',
    samples: [
      ['a', 900, 9_900],
      ['b', 2, 9_900],
    ],
    expectedRttMs: 900,
  },
  {
    name: 'is the least of all for one that was not asked',
    samples: [
      ['b', 700, 9_900],
      ['c', 600, 9_900],
    ],
    expectedRttMs: 600,
  },
  {
    name: 'grows at once',
    samples: [
      ['a', 100, 9_000],
      ['a', 900, 9_900],
    ],
    expectedRttMs: 900,
  },
  {
    name: 'shrinks by half',
    samples: [
      ['a', 900, 9_000],
      ['a', 100, 9_900],
    ],
    expectedRttMs: 500,
  },
  {
    name: 'is forgotten',
    samples: [['a', 900, NOW_MS - 3_001]],
    expectedRttMs: 0,
  },
  {
    name: 'is bounded',
    samples: [['a', 4_000, 9_900]],
    expectedRttMs: 1_500,
  },
];

describe('RoundTrips', () => {
  for (const {name, samples, expectedRttMs} of CASES) {
    it(name, () => {
      const roundTrips = new RttEstimator();
      for (const sample of samples) roundTrips.record(...sample);
      expect(roundTrips.expectedRttMs('a', NOW_MS)).to.equal(expectedRttMs);
    });
  }

  it('is unknown after a pause of this process', () => {
    const roundTrips = new RttEstimator();
    roundTrips.record('a', 900, NOW_MS);
    roundTrips.clear();
    expect(roundTrips.expectedRttMs('a', NOW_MS)).to.equal(0);
  });
});
