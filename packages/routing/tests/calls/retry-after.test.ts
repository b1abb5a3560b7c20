import {SeededRandom} from '@turmericmill/utils';
import {expect} from 'chai';

import {retryAfterMs} from '../../src/index.js';

describe('retryAfterMs', () => {
  it('returns the delay until a slot is expected, with jitter', () => {
    const random = new SeededRandom(1);
    const times = Array.from({length: 100}, () =>
      retryAfterMs(200, 1500, random),
    );
    expect(Math.min(...times)).to.be.within(200, 210);
    expect(Math.max(...times)).to.be.within(250, 260);
  });

  it('returns at most a third of the remaining time', () => {
    expect(retryAfterMs(5_000, 900, new SeededRandom(1))).to.equal(300);
  });

  it('returns 0 when no time remains', () => {
    expect(retryAfterMs(10, -5, new SeededRandom(1))).to.equal(0);
  });
});
