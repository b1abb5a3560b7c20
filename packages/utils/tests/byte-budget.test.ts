import {expect} from 'chai';

import {ByteBudget} from '../src/byte-budget.js';

/** Reserves, or releases if the number is negative; `all` releases the rest. */
type Step = readonly [holder: string, bytes: number | 'all'];

interface Case {
  steps: readonly Step[];
  /** Holders told to drop their bytes, by step. */
  dropping: readonly string[][];
  heldBytes: number;
}

const MAX_BYTES = 100;

const CASES: Record<string, Case> = {
  'the bound itself may be held': {
    steps: [
      ['a', 60],
      ['b', 40],
    ],
    dropping: [[], []],
    heldBytes: 100,
  },
  'the largest holder drops, not the one that comes last': {
    steps: [
      ['a', 60],
      ['b', 30],
      ['c', 20],
    ],
    dropping: [[], [], ['a']],
    heldBytes: 50,
  },
  'bytes of one holder add up': {
    steps: [
      ['a', 30],
      ['b', 40],
      ['a', 30],
      ['c', 1],
    ],
    dropping: [[], [], [], ['a']],
    heldBytes: 41,
  },
  'a holder that alone exceeds the bound drops; the others keep theirs': {
    steps: [
      ['a', 60],
      ['b', 101],
    ],
    dropping: [[], ['b']],
    heldBytes: 60,
  },
  'several drop, the largest first': {
    steps: [
      ['a', 20],
      ['b', 40],
      ['c', 30],
      ['d', 90],
    ],
    dropping: [[], [], [], ['d']],
    heldBytes: 90,
  },
  'among equal holders the one that began first drops': {
    steps: [
      ['a', 50],
      ['b', 50],
      ['c', 50],
    ],
    dropping: [[], [], ['a']],
    heldBytes: 100,
  },
  'released bytes are free again': {
    steps: [
      ['a', 100],
      ['a', -60],
      ['b', 60],
      ['a', 'all'],
      ['c', 40],
    ],
    dropping: [[], [], [], [], []],
    heldBytes: 100,
  },
  'no more is released than is held': {
    steps: [
      ['a', 10],
      ['a', -60],
      ['b', 'all'],
      ['c', 101],
    ],
    dropping: [[], [], [], ['c']],
    heldBytes: 0,
  },
};

describe('ByteBudget', () => {
  for (const [name, {steps, dropping, heldBytes}] of Object.entries(CASES)) {
    it(name, () => {
      const budget = new ByteBudget<{name: string}>(MAX_BYTES);
      const holders = new Map<string, {name: string}>();
      const holderOf = (key: string) => {
        const holder = holders.get(key) ?? {name: key};
        holders.set(key, holder);
        return holder;
      };
      const dropped = steps.map(([key, bytes]) => {
        const holder = holderOf(key);
        if (bytes === 'all') budget.release(holder);
        else if (bytes < 0) budget.release(holder, -bytes);
        else return budget.reserve(holder, bytes).map(({name}) => name);
        return [];
      });
      expect(dropped).to.deep.equal(dropping);
      expect(budget.reservedBytes).to.equal(heldBytes);
      let sum = 0;
      for (const holder of holders.values()) sum += budget.reservedBy(holder);
      expect(sum).to.equal(heldBytes);
    });
  }
});
