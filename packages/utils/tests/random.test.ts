import {expect} from 'chai';

import {SeededRandom} from '../src/index.js';

describe('SeededRandom', () => {
  it('depends only on its seed', () => {
    const draw = (seed: number) => {
      const random = new SeededRandom(seed);
      return Array.from({length: 20}, () => random.next());
    };
    expect(draw(7)).to.deep.equal(draw(7));
    expect(draw(7)).to.not.deep.equal(draw(8));
  });

  it('samples distinct items, at most as many as exist', () => {
    const random = new SeededRandom(3);
    for (const count of [0, 1, 4, 9]) {
      const sample = random.sample([1, 2, 3, 4], count);
      expect(new Set(sample).size).to.equal(sample.length);
      expect(sample).to.have.length(Math.min(count, 4));
    }
  });

  it('keeps jitter between zero and the capped backoff', () => {
    const random = new SeededRandom(5);
    for (let attempt = 0; attempt < 40; attempt++) {
      const delayMs = random.jitter(100, attempt, 5000);
      expect(delayMs).to.be.at.least(0);
      expect(delayMs).to.be.below(Math.min(5000, 100 * 2 ** attempt));
    }
  });
});
