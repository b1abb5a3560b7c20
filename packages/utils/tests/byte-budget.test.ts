import {expect} from 'chai';

import {ByteBudget} from '../src/byte-budget.js';

/** Reserves, or releases if the number is negative; `all` releases the rest. */
type Step = readonly [holder: string, bytes: number | 'all'];

interface Case {
  steps: readonly Step[];
  /** Holders that must free their bytes, by step. */
  evicted: readonly string[][];
  reservedBytes: number;
}

const MAX_BYTES = 100;

const CASES: Record<string, Case> = {
  'as many bytes as the limit may be reserved': {
    steps: [
      ['a', 60],
      ['b', 40],
    ],
    evicted: [[], []],
    reservedBytes: 100,
  },
  'the largest holder is evicted, not the latest': {
    steps: [
      ['a', 60],
      ['b', 30],
      ['c', 20],
    ],
    evicted: [[], [], ['a']],
    reservedBytes: 50,
  },
  'reservations of one holder add up': {
    steps: [
      ['a', 30],
      ['b', 40],
      ['a', 30],
      ['c', 1],
    ],
    evicted: [[], [], [], ['a']],
    reservedBytes: 41,
  },
  'a holder that exceeds the limit alone is evicted, others are not': {
    steps: [
      ['a', 60],
      ['b', 101],
    ],
    evicted: [[], ['b']],
    reservedBytes: 60,
  },
  'a single holder is evicted if that is enough': {
    steps: [
      ['a', 20],
      ['b', 40],
      ['c', 30],
      ['d', 90],
    ],
    evicted: [[], [], [], ['d']],
    reservedBytes: 90,
  },
  'of several equal holders, the earliest is evicted': {
    steps: [
      ['a', 50],
      ['b', 50],
      ['c', 50],
    ],
    evicted: [[], [], ['a']],
    reservedBytes: 100,
  },
  'released bytes can be reserved again': {
    steps: [
      ['a', 100],
      ['a', -60],
      ['b', 60],
      ['a', 'all'],
      ['c', 40],
    ],
    evicted: [[], [], [], [], []],
    reservedBytes: 100,
  },
  'no more is released than was reserved': {
    steps: [
      ['a', 10],
      ['a', -60],
      ['b', 'all'],
      ['c', 101],
    ],
    evicted: [[], [], [], ['c']],
    reservedBytes: 0,
  },
};

describe('ByteBudget', () => {
  for (const [name, {steps, evicted, reservedBytes}] of Object.entries(CASES)) {
    it(name, () => {
      const budget = new ByteBudget<{name: string}>(MAX_BYTES);
      const holders = new Map<string, {name: string}>();
      const holderOf = (key: string) => {
        const holder = holders.get(key) ?? {name: key};
        holders.set(key, holder);
        return holder;
      };
      const evictedByStep = steps.map(([key, bytes]) => {
        const holder = holderOf(key);
        if (bytes === 'all') budget.release(holder);
        else if (bytes < 0) budget.release(holder, -bytes);
        else return budget.reserve(holder, bytes).map(({name}) => name);
        return [];
      });
      expect(evictedByStep).to.deep.equal(evicted);
      expect(budget.reservedBytes).to.equal(reservedBytes);
      let sum = 0;
      for (const holder of holders.values()) sum += budget.reservedBy(holder);
      expect(sum).to.equal(reservedBytes);
    });
  }
});
