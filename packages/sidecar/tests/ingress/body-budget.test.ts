import {expect} from 'chai';

import {BodyBudget} from '../../src/ingress/body-budget.js';

const UNCOUNTED_BYTES = 64 * 1024;
const MAX_BYTES = 100;
/** The size in bytes to which a body grows, or `released`. */
type Step = readonly [body: string, to: number | 'released'];

interface Case {
  steps: readonly Step[];
  /** Whether the budget has room for each step. */
  room: readonly boolean[];
  reservedBytes: number;
}

const CASES: Record<string, Case> = {
  'does not count the first 64 KiB of a body': {
    steps: [
      ['a', UNCOUNTED_BYTES + 100],
      ['b', UNCOUNTED_BYTES],
    ],
    room: [true, true],
    reservedBytes: 100,
  },
  'counts all large bodies together': {
    steps: [
      ['a', UNCOUNTED_BYTES + 60],
      ['b', UNCOUNTED_BYTES + 41],
      ['b', UNCOUNTED_BYTES + 40],
    ],
    room: [true, false, true],
    reservedBytes: 100,
  },
  'counts only the growth of a body': {
    steps: [
      ['a', UNCOUNTED_BYTES - 1],
      ['a', UNCOUNTED_BYTES + 40],
      ['a', UNCOUNTED_BYTES + 100],
      ['a', UNCOUNTED_BYTES + 101],
    ],
    room: [true, true, true, false],
    reservedBytes: 100,
  },
  'has room again when a body is released': {
    steps: [
      ['a', UNCOUNTED_BYTES + 100],
      ['b', UNCOUNTED_BYTES + 1],
      ['a', 'released'],
      ['b', UNCOUNTED_BYTES + 100],
    ],
    room: [true, false, true, true],
    reservedBytes: 100,
  },
};

describe('BodyBudget', () => {
  for (const [name, {steps, room, reservedBytes}] of Object.entries(CASES)) {
    it(name, () => {
      const budget = new BodyBudget(MAX_BYTES);
      const sizes = new Map<string, number>();
      const hadRoom = steps.map(([body, to]) => {
        const from = sizes.get(body) ?? 0;
        if (to === 'released') {
          budget.release(from);
          return true;
        }
        const hasRoom = budget.grow(from, to);
        if (hasRoom) sizes.set(body, to);
        return hasRoom;
      });
      expect(hadRoom).to.deep.equal(room);
      expect(budget.reservedBytes).to.equal(reservedBytes);
    });
  }
});
