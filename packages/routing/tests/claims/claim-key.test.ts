import {expect} from 'chai';

import {
  claimKey,
  claimPartition,
  selectClaimWriter,
  requestDigest,
} from '../../src/claims/index.js';

describe('claim keys', () => {
  // The first and last pairs differ only in where one part ends.
  const pairs: [string, string][] = [
    [claimKey('ab', 'c'), claimKey('a', 'bc')],
    [claimKey('a', 'k'), claimKey('b', 'k')],
    [
      requestDigest('POST', '/a', Buffer.from('1')),
      requestDigest('POST', '/a', Buffer.from('2')),
    ],
    [
      requestDigest('POST', '/a', Buffer.from('b')),
      requestDigest('POST', '/ab', Buffer.from('')),
    ],
  ];
  for (const [i, [one, other]] of pairs.entries()) {
    it(`differ for different inputs (pair ${i})`, () => {
      expect(one).to.have.length(22);
      expect(one).to.not.equal(other);
    });
  }

  it('spread over all partitions', () => {
    const partitions = new Set<number>();
    for (let i = 0; i < 200; i++) {
      partitions.add(claimPartition(claimKey('c', String(i)), 8));
    }
    expect([...partitions].sort()).to.deep.equal([0, 1, 2, 3, 4, 5, 6, 7]);
  });

  it('keep their writer when another member leaves', () => {
    const members = ['n1', 'n2', 'n3', 'n4'];
    const writer = selectClaimWriter(0, members);
    const other = members.find(member => member !== writer);
    const rest = members.filter(member => member !== other);
    expect(selectClaimWriter(0, rest)).to.equal(writer);
    expect(selectClaimWriter(0, [])).to.equal(undefined);
  });
});
