import {SeededRandom} from '@turmericmill/utils';
import {expect} from 'chai';

import {retryAfterMs} from '../../src/index.js';

describe('returnAfterMs', () => {
  it('names the time at which a slot is expected, and spreads callers', () => {
    const random = new SeededRandom(1);
    const times = Array.from({length: 100}, () =>
      retryAfterMs(200, 1500, random),
    );
    expect(Math.min(...times)).to.be.within(200, 210);
    expect(Math.max(...times)).to.be.within(250, 260);
  });

  it('never asks for more than a caller is willing to wait', () => {
    expect(retryAfterMs(5_000, 900, new SeededRandom(1))).to.equal(300);
  });

  it('has no time left for a caller without any', () => {
    expect(retryAfterMs(10, -5, new SeededRandom(1))).to.equal(0);
  });
});
