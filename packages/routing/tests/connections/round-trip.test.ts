import {expect} from 'chai';

import {RoundTripEstimator} from '../../src/index.js';

const MIN_MS = 250;

describe('RoundTrip', () => {
  const cases: {
    title: string;
    samples: [sampleMs: number, atMs: number][];
    atMs: number;
    waitMs: number;
  }[] = [
    {title: 'an unknown peer', samples: [], atMs: 0, waitMs: MIN_MS},
    {title: 'a fast peer', samples: [[4, 0]], atMs: 1, waitMs: MIN_MS},
    {title: 'a slow peer', samples: [[140, 0]], atMs: 1, waitMs: 420},
    {
      title: 'a peer that is steadily slow',
      samples: [
        [140, 0],
        [140, 300],
      ],
      atMs: 301,
      waitMs: 350,
    },
    {
      title: 'a peer that turns slow',
      samples: [
        [0, 0],
        [400, 300],
      ],
      atMs: 301,
      waitMs: 450,
    },
    {title: 'a very slow peer', samples: [[900, 0]], atMs: 1, waitMs: 500},
    {
      title: 'a peer that was slow long ago',
      samples: [[900, 0]],
      atMs: 10_001,
      waitMs: MIN_MS,
    },
  ];
  for (const {title, samples, atMs, waitMs} of cases) {
    it(`waits ${waitMs} ms for ${title}`, () => {
      const roundTrip = new RoundTripEstimator(MIN_MS);
      for (const [sampleMs, sampledAtMs] of samples) {
        roundTrip.sample(sampleMs, sampledAtMs);
      }
      expect(roundTrip.waitMs(atMs)).to.equal(waitMs);
    });
  }
});
