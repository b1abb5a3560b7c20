import {expect} from 'chai';

import {BLOCK_BYTES, BlockPool} from '../../src/server/block-pool.js';

describe('BlockPool', () => {
  it('reuses released blocks and allocates new ones when it has none', () => {
    const pool = new BlockPool(2);
    const block = pool.acquire();
    expect(block.length).to.equal(BLOCK_BYTES);
    pool.release(block);
    expect(pool.acquire()).to.equal(block);
    expect(pool.acquire()).to.not.equal(block);
  });

  it('keeps at most the given number of free blocks', () => {
    const pool = new BlockPool(1);
    const [kept, dropped] = [pool.acquire(), pool.acquire()];
    pool.release(kept);
    pool.release(dropped);
    expect(pool.acquire()).to.equal(kept);
    expect(pool.acquire()).to.not.equal(dropped);
  });
});
