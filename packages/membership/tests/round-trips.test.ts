import {expect} from 'chai';

import {RoundTrips} from '../src/round-trips.js';

/** Each sample: target, round trip in ms, time in ms. */
type Sample = [string, number, number];

const NOW_MS = 10_000;

interface RoundTripCase {
  name: string;
  samples: Sample[];
  expectedMs: number;
}

const CASES: RoundTripCase[] = [
  {name: 'is none before any answer', samples: [], expectedMs: 0},
  {
    name: 'is that of the target where others answer at once',
    samples: [
      ['a', 900, 9_900],
      ['b', 2, 9_900],
    ],
    expectedMs: 900,
  },
  {
    name: 'is the least of all for one that was not asked',
    samples: [
      ['b', 700, 9_900],
      ['c', 600, 9_900],
    ],
    expectedMs: 600,
  },
  {
    name: 'grows at once',
    samples: [
      ['a', 100, 9_000],
      ['a', 900, 9_900],
    ],
    expectedMs: 900,
  },
  {
    name: 'shrinks by half',
    samples: [
      ['a', 900, 9_000],
      ['a', 100, 9_900],
    ],
    expectedMs: 500,
  },
  {
    name: 'is forgotten',
    samples: [['a', 900, NOW_MS - 3_001]],
    expectedMs: 0,
  },
  {
    name: 'is bounded',
    samples: [['a', 4_000, 9_900]],
    expectedMs: 1_500,
  },
];

describe('RoundTrips', () => {
  for (const {name, samples, expectedMs} of CASES) {
    it(name, () => {
      const roundTrips = new RoundTrips();
      for (const sample of samples) roundTrips.note(...sample);
      expect(roundTrips.expectedMs('a', NOW_MS)).to.equal(expectedMs);
    });
  }

  it('is unknown after a pause of this process', () => {
    const roundTrips = new RoundTrips();
    roundTrips.note('a', 900, NOW_MS);
    roundTrips.clear();
    expect(roundTrips.expectedMs('a', NOW_MS)).to.equal(0);
  });
});
