import {expect} from 'chai';

import {RetryBudget} from '../../src/calls/retry-budget.js';
import {decideRetry} from '../../src/calls/retry.js';
import type {FailedAttempt, RetryDecision} from '../../src/calls/retry.js';

const NOW_MS = 1_000;

const REFUSED: FailedAttempt = {
  outcome: 'not-run',
  reason: 'overload',
  attempts: 1,
  repetition: 'at-most-once',
  deadlineMs: NOW_MS + 500,
  hops: 0,
  repeated: false,
  replayable: true,
  untried: 2,
};

const LOST: FailedAttempt = {
  ...REFUSED,
  outcome: 'unknown',
  reason: 'connection-lost',
  repetition: 'repeatable',
};

function budgetOf(tokens: number): RetryBudget {
  const budget = new RetryBudget(NOW_MS);
  budget.deposit(0, NOW_MS);
  budget.deposit(tokens * 100, NOW_MS);
  return budget;
}

describe('decideRetry', () => {
  const cases: [string, FailedAttempt, number, RetryDecision][] = [
    ['a refusal', REFUSED, 1, 'retry'],
    ['a refusal without budget', REFUSED, 0.5, 'budget'],
    ['a refusal deep in a chain', {...REFUSED, hops: 24}, 1, 'retry'],
    [
      'a refusal of a repeated request',
      {...REFUSED, repeated: true},
      1,
      'retry',
    ],
    ['a lost repeatable call', LOST, 2, 'retry'],
    ['a lost repeatable call, one token', LOST, 1, 'budget'],
    ['a lost call at hop 1', {...LOST, hops: 1}, 6, 'retry'],
    ['a lost call at hop 1, five tokens', {...LOST, hops: 1}, 5, 'budget'],
    [
      'a lost call that must not be retried',
      {...LOST, repetition: 'at-most-once'},
      99,
      'may-have-run',
    ],
    [
      'a lost call that an earlier hop retries',
      {...LOST, repeated: true},
      99,
      'may-have-run',
    ],
    [
      'a body that cannot be sent again',
      {...REFUSED, replayable: false},
      9,
      'may-have-run',
    ],
    ['the last attempt', {...REFUSED, attempts: 3}, 9, 'attempts'],
    ['a near deadline', {...REFUSED, deadlineMs: NOW_MS + 1}, 9, 'deadline'],
    ['no other server', {...REFUSED, untried: 0}, 9, 'servers'],
    ['a quarantined request', {...REFUSED, reason: 'quarantined'}, 9, 'final'],
    ['a cancelled call', {...LOST, reason: 'cancelled'}, 9, 'final'],
    [
      'a key claimed by another attempt',
      {...REFUSED, reason: 'claimed'},
      9,
      'final',
    ],
  ];
  for (const [name, failed, tokens, expected] of cases) {
    it(`${name}: ${expected}`, () => {
      const decision = decideRetry(failed, budgetOf(tokens), NOW_MS);
      expect(decision).to.equal(expected);
    });
  }

  it('keeps retries within the share when all calls fail', () => {
    const budget = new RetryBudget(0);
    let retries = 0;
    for (let call = 0; call < 10_000; call++) {
      budget.deposit(10, call);
      if (budget.withdraw(1, call)) retries++;
    }
    expect(retries).to.be.within(900, 1_003);
  });

  it('keeps a small reserve for services that are seldom called', () => {
    const budget = new RetryBudget(0);
    budget.deposit(10, 0);
    expect(budget.withdraw(2, 1)).to.equal(true);
    expect(budget.withdraw(2, 1_000)).to.equal(false);
    expect(budget.withdraw(2, 90_000)).to.equal(true);
  });

  it('allows no retry at all at 0 percent', () => {
    const budget = new RetryBudget(0);
    budget.deposit(0, 0);
    expect(budget.withdraw(1, 0)).to.equal(false);
  });

  it('does not accumulate tokens for a later retry storm', () => {
    const budget = new RetryBudget(0);
    for (let call = 0; call < 100_000; call++) budget.deposit(10, call * 10);
    let burst = 0;
    while (budget.withdraw(1, 1_000_000)) burst++;
    expect(burst).to.be.at.most(102);
  });
});
