import {expect} from 'chai';

import {rendezvousTop, SeededRandom} from '../src/index.js';

const MEMBERS = Array.from({length: 40}, (unused, i) => `node-${i}`);

describe('rendezvousTop', () => {
  it('does not depend on the order of the members', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const shuffled = new SeededRandom(seed).sample(MEMBERS, MEMBERS.length);
      const chosen = rendezvousTop('relay', shuffled, 3);
      expect(chosen).to.deep.equal(rendezvousTop('relay', MEMBERS, 3));
    }
  });

  it('moves only the keys of a departed member', () => {
    const remaining = MEMBERS.filter(member => member !== 'node-7');
    for (let key = 0; key < 200; key++) {
      const [before] = rendezvousTop(`key-${key}`, MEMBERS, 1);
      const [after] = rendezvousTop(`key-${key}`, remaining, 1);
      if (before !== 'node-7') expect(after).to.equal(before);
    }
  });

  it('returns all members if there are fewer than requested', () => {
    expect(rendezvousTop('k', ['a', 'b'], 5)).to.have.members(['a', 'b']);
    expect(rendezvousTop('k', [], 5)).to.deep.equal([]);
  });
});
