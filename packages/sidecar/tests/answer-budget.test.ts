import {expect} from 'chai';

import {createAnswerBudget, reserveBytes} from '../src/answer-budget.js';

/** Memory in MB of the smallest hosts and of larger ones. */
const MEMORY_MB = [250, 350, 602];
const BYTES_PER_MB = 1024 * 1024;

describe('answer budget', () => {
  for (const memoryMb of MEMORY_MB) {
    it(`is a tenth of ${memoryMb} MB`, () => {
      const {maxBytes} = createAnswerBudget(memoryMb);
      expect(maxBytes).to.be.closeTo((memoryMb * BYTES_PER_MB) / 10, 1);
    });
  }

  it('frees the buffer of the largest answer, not of the newest', () => {
    const freed: string[] = [];
    const endless = {freeBuffer: () => freed.push('endless')};
    const normal = {freeBuffer: () => freed.push('normal')};
    const budget = createAnswerBudget(250);
    reserveBytes(budget, endless, budget.maxBytes - 100);
    expect(freed).to.deep.equal([]);
    reserveBytes(budget, normal, 101);
    expect(freed).to.deep.equal(['endless']);
    expect(budget.reservedBytes).to.equal(101);
  });
});
