import {expect} from 'chai';

import {BLOCK_BYTES, BlockPool} from '../../src/server/block-pool.js';

describe('BlockPool', () => {
  it('gives out returned blocks again, and new ones when there are none', () => {
    const pool = new BlockPool(2);
    const block = pool.take();
    expect(block.length).to.equal(BLOCK_BYTES);
    pool.give(block);
    expect(pool.take()).to.equal(block);
    expect(pool.take()).to.not.equal(block);
  });

  it('keeps no more blocks than it may', () => {
    const pool = new BlockPool(1);
    const [kept, dropped] = [pool.take(), pool.take()];
    pool.give(kept);
    pool.give(dropped);
    expect(pool.take()).to.equal(kept);
    expect(pool.take()).to.not.equal(dropped);
  });
});
