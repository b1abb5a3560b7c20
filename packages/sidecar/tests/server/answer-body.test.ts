import {expect} from 'chai';

import {AnswerBody} from '../../src/server/answer-body.js';
import {BLOCK_BYTES, BlockPool} from '../../src/server/block-pool.js';

const KIB = 1024;

/** Sizes in bytes of the received pieces. */
const PIECES: Record<string, readonly number[]> = {
  none: [],
  'one short piece': [5],
  'one piece of a block': [64 * KIB],
  'one piece of several blocks': [200 * KIB],
  'pieces of one byte': Array<number>(100_000).fill(1),
  'small and large pieces in turn': [1, 64 * KIB, 3, 64 * KIB, 7, 64 * KIB],
  'pieces of the size of a TCP segment': Array<number>(100).fill(1_460),
};

function piece(seed: number, bytes: number): Buffer {
  return Buffer.from(
    [...Array(bytes).keys()].map(index => (seed + index) % 251),
  );
}

describe('AnswerBody', () => {
  for (const [name, sizes] of Object.entries(PIECES)) {
    it(`keeps the bytes in order: ${name}`, () => {
      const body = new AnswerBody(new BlockPool(0));
      const pieces = sizes.map((bytes, i) => piece(i, bytes));
      for (const bytes of pieces) body.append(bytes);
      const whole = Buffer.concat(pieces);
      expect(Buffer.concat(body.extract()).equals(whole)).to.equal(true);
      expect(body.extract()).to.deep.equal([]);
    });

    it(`allocates at most twice the bytes and 1 KiB: ${name}`, () => {
      const body = new AnswerBody(new BlockPool(0));
      let allocatedBytes = 0;
      let bytes = 0;
      for (const size of sizes) {
        allocatedBytes += body.append(Buffer.alloc(size));
        bytes += size;
        expect(allocatedBytes).to.be.within(bytes, 2 * bytes + KIB);
      }
      const blocks = body.extract();
      expect(blocks.length).to.be.at.most(8 + bytes / (64 * KIB));
      for (const {length} of blocks) expect(length).to.be.at.most(64 * KIB);
    });
  }

  it('releases its large blocks, and only those, when discarded', () => {
    const pool = new BlockPool(2);
    const body = new AnswerBody(pool);
    body.append(Buffer.alloc(5));
    body.append(Buffer.alloc(4 * BLOCK_BYTES));
    const other = new AnswerBody(pool);
    other.append(Buffer.alloc(BLOCK_BYTES));
    const [kept] = other.extract();
    body.discard();
    expect(body.extract()).to.deep.equal([]);
    const again = [pool.acquire(), pool.acquire(), pool.acquire()];
    expect(new Set(again).size).to.equal(3);
    for (const block of again) {
      expect(block.length).to.equal(BLOCK_BYTES);
      expect(block.buffer).to.not.equal(kept?.buffer);
    }
  });
});
