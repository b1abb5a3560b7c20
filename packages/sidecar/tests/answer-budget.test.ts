import {expect} from 'chai';

import {createAnswerBudget, reserveBytes} from '../src/answer-budget.js';

/** Memory in MB of the smallest hosts, and of others. */
const MEMORY_MB = [250, 350, 602];
const BYTES_PER_MB = 1024 * 1024;

describe('the budget of answers', () => {
  for (const memoryMb of MEMORY_MB) {
    it(`is a tenth of ${memoryMb} MB`, () => {
      const {maxBytes} = createAnswerBudget(memoryMb);
      expect(maxBytes).to.be.closeTo((memoryMb * BYTES_PER_MB) / 10, 1);
    });
  }

  it('has the largest answer make room, not the one that comes last', () => {
    const seen: string[] = [];
    const endless = {freeBuffer: () => seen.push('endless')};
    const honest = {freeBuffer: () => seen.push('honest')};
    const budget = createAnswerBudget(250);
    reserveBytes(budget, endless, budget.maxBytes - 100);
    expect(seen).to.deep.equal([]);
    reserveBytes(budget, honest, 101);
    expect(seen).to.deep.equal(['endless']);
    expect(budget.heldBytes).to.equal(101);
  });
});
