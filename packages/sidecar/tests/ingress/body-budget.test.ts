import {expect} from 'chai';

import {BodyBudget} from '../../src/ingress/body-budget.js';

const FREE_BYTES = 64 * 1024;
const MAX_BYTES = 100;
/** A body that grows, or is over if `to` is `gone`. */
type Step = readonly [body: string, to: number | 'gone'];

interface Case {
  steps: readonly Step[];
  /** Whether each step has room. */
  room: readonly boolean[];
  heldBytes: number;
}

const CASES: Record<string, Case> = {
  'small bodies need no room': {
    steps: [
      ['a', FREE_BYTES + 100],
      ['b', FREE_BYTES],
    ],
    room: [true, true],
    heldBytes: 100,
  },
  'all large bodies count together': {
    steps: [
      ['a', FREE_BYTES + 60],
      ['b', FREE_BYTES + 41],
      ['b', FREE_BYTES + 40],
    ],
    room: [true, false, true],
    heldBytes: 100,
  },
  'what a body holds already counts once': {
    steps: [
      ['a', FREE_BYTES - 1],
      ['a', FREE_BYTES + 40],
      ['a', FREE_BYTES + 100],
      ['a', FREE_BYTES + 101],
    ],
    room: [true, true, true, false],
    heldBytes: 100,
  },
  'room comes back with the end of a request': {
    steps: [
      ['a', FREE_BYTES + 100],
      ['b', FREE_BYTES + 1],
      ['a', 'gone'],
      ['b', FREE_BYTES + 100],
    ],
    room: [true, false, true, true],
    heldBytes: 100,
  },
};

describe('BodyBudget', () => {
  for (const [name, {steps, room, heldBytes}] of Object.entries(CASES)) {
    it(name, () => {
      const budget = new BodyBudget(MAX_BYTES);
      const sizes = new Map<string, number>();
      const seen = steps.map(([body, to]) => {
        const from = sizes.get(body) ?? 0;
        if (to === 'gone') {
          budget.release(from);
          return true;
        }
        const hasRoom = budget.grow(from, to);
        if (hasRoom) sizes.set(body, to);
        return hasRoom;
      });
      expect(seen).to.deep.equal(room);
      expect(budget.heldBytes).to.equal(heldBytes);
    });
  }
});
