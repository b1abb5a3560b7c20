import {expect} from 'chai';

import {
  ClaimLedger,
  encodeBatch,
  encodeOperation,
  MAX_TIME_STEP_MS,
  type ClaimLogOperation,
} from '../../src/claims/index.js';

const WINDOW_MS = 60_000;

function claim(key: string, claimId: string): ClaimLogOperation {
  return {type: 'claim', key, claimId, requestDigest: 'd'};
}

function answer(key: string, claimId: string, text: string): ClaimLogOperation {
  const kept = {status: 200, headers: [], body: Buffer.from(text)};
  return {type: 'answer', key, claimId, answer: kept};
}

function release(key: string, claimId: string): ClaimLogOperation {
  return {type: 'release', key, claimId};
}

/** Folds one batch at `atMs`. */
function fold(
  ledger: ClaimLedger,
  atMs: number,
  ...operations: ClaimLogOperation[]
): void {
  const head = {writer: 'w', seq: 1, atMs, untilMs: atMs + WINDOW_MS};
  const body = encodeBatch(head, operations.map(encodeOperation));
  ledger.fold({offset: ledger.next, body});
}

describe('ClaimLedger', () => {
  const cases: {
    name: string;
    operations: ClaimLogOperation[];
    verdicts: [string, string | undefined][];
  }[] = [
    {
      name: 'grants the first attempt in log order',
      operations: [claim('k', 'a'), claim('k', 'b')],
      verdicts: [
        ['a', 'granted'],
        ['b', 'claimed'],
      ],
    },
    {
      name: 'frees a released key',
      operations: [claim('k', 'a'), release('k', 'a')],
      verdicts: [['b', undefined]],
    },
    {
      name: 'ignores the release of an attempt that does not hold the key',
      operations: [claim('k', 'a'), release('k', 'b')],
      verdicts: [['a', 'granted']],
    },
    {
      name: 'voids a claim after its release',
      operations: [release('k', 'a'), claim('k', 'a')],
      verdicts: [['b', undefined]],
    },
    {
      name: 'returns the answer to every attempt',
      operations: [claim('k', 'a'), answer('k', 'a', 'x')],
      verdicts: [
        ['a', 'answered'],
        ['b', 'answered'],
      ],
    },
    {
      name: 'ignores the answer of an attempt that does not hold the key',
      operations: [claim('k', 'a'), answer('k', 'b', 'x')],
      verdicts: [['b', 'claimed']],
    },
    {
      name: 'ignores a release after the answer',
      operations: [claim('k', 'a'), answer('k', 'a', 'x'), release('k', 'a')],
      verdicts: [['b', 'answered']],
    },
    {
      name: 'never grants an answered key again, even if the answer is not kept',
      operations: [claim('k', 'a'), answer('k', 'a', 'x'.repeat(200))],
      verdicts: [['a', 'claimed']],
    },
  ];
  for (const {name, operations, verdicts} of cases) {
    it(name, () => {
      const ledger = new ClaimLedger({
        windowMs: WINDOW_MS,
        maxAnswerBytes: 100,
      });
      fold(ledger, 1000, ...operations);
      for (const [claimId, verdict] of verdicts) {
        const attempt = {key: 'k', claimId, requestDigest: 'd'};
        expect(ledger.verdict(attempt), claimId).to.equal(verdict);
      }
      expect(ledger.keptBytes).to.be.at.most(100);
    });
  }

  it('does not expire all keys at once if a writer has a wrong clock', () => {
    const ledger = new ClaimLedger({windowMs: WINDOW_MS, maxAnswerBytes: 0});
    fold(ledger, 1000, claim('k', 'a'));
    fold(ledger, 1000 + 10 * WINDOW_MS);
    expect(ledger.size).to.equal(1);
    const steps = WINDOW_MS / MAX_TIME_STEP_MS;
    for (let i = 0; i < steps; i++) fold(ledger, 1000 + 10 * WINDOW_MS);
    expect(ledger.size).to.equal(0);
  });

  it('rejects a record that is out of order', () => {
    const ledger = new ClaimLedger({windowMs: WINDOW_MS, maxAnswerBytes: 0});
    expect(() => ledger.fold({offset: 1, body: ''})).to.throw(RangeError);
  });
});
