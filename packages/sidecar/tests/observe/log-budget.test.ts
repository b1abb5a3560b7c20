import {expect} from 'chai';

import {LogBudget} from '../../src/observe/log-budget.js';

const RATE = {perSecond: 2, burst: 3};

describe('LogBudget', () => {
  it('allows a burst, omits further lines and counts them', () => {
    const budget = new LogBudget();
    const burst = [1, 2, 3, 4, 5].map(
      () => budget.decideLine('a', RATE, 0).write,
    );
    expect(burst).to.deep.equal([true, true, true, false, false]);
    expect(budget.decideLine('a', RATE, 500)).to.deep.equal({
      write: true,
      leftOut: 2,
    });
    expect(budget.leftOutTotal).to.equal(2);
  });

  it('has a separate budget for each event', () => {
    const budget = new LogBudget();
    for (let i = 0; i < 10; i++) budget.decideLine('common', RATE, 0);
    expect(budget.decideLine('rare', RATE, 0).write).to.equal(true);
  });
});
