import {expect} from 'chai';

import {BLOCK_BYTES, BlockPool} from '../../src/server/block-pool.js';

describe('BlockPool', () => {
  it('reuses released blocks and allocates new ones when it has none', () => {
    const pool = new BlockPool(2);
    const block = pool.take();
    expect(block.length).to.equal(BLOCK_BYTES);
    pool.release(block);
    expect(pool.take()).to.equal(block);
    expect(pool.take()).to.not.equal(block);
  });

  it('keeps at most the given number of free blocks', () => {
    const pool = new BlockPool(1);
    const [kept, dropped] = [pool.take(), pool.take()];
    pool.release(kept);
    pool.release(dropped);
    expect(pool.take()).to.equal(kept);
    expect(pool.take()).to.not.equal(dropped);
  });
});
