import {expect} from 'chai';

import {boundedCache} from '../src/index.js';

describe('boundedCache', () => {
  it('evicts the least recently used entry when it is full', () => {
    const cache = boundedCache<string, number>(2);
    cache.set('a', 1);
    cache.set('b', 2);
    cache.get('a');
    cache.set('c', 3);
    expect([...cache.keys()].sort()).to.deep.equal(['a', 'c']);
    expect(cache.size).to.equal(2);
  });

  it('replaces an entry without counting it twice', () => {
    const cache = boundedCache<string, number>(2);
    for (let i = 0; i < 5; i++) cache.set('a', i);
    cache.set('b', 9);
    expect(cache.get('a')).to.equal(4);
    expect(cache.size).to.equal(2);
  });
});
