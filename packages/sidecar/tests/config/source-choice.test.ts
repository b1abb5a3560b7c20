import {expect} from 'chai';

import {READ_WAIT_MS} from '../../src/config/config-follower.js';
import {
  BEACON_INTERVAL_MS,
  isReader,
  READERS_PER_DATA_CENTRE,
  readsStore,
  STALE_AFTER_MS,
} from '../../src/config/source-choice.js';

const NEIGHBOURS = ['n-1', 'n-2', 'n-3', 'n-4', 'n-5'];

function readersOf(neighbours: string[]): string[] {
  return neighbours.filter(nodeId =>
    isReader({nodeId, neighbours, heardMs: 0}),
  );
}

/** Time in ms for a read's answer and a word on their way, starved nodes too. */
const WAY_MS = 250;

describe('choice of the source', () => {
  it('names the same readers for every node', () => {
    expect(readersOf(NEIGHBOURS)).to.have.length(READERS_PER_DATA_CENTRE);
  });

  it('names another reader when one is gone', () => {
    const [gone] = readersOf(NEIGHBOURS);
    const after = readersOf(NEIGHBOURS.filter(id => id !== gone));
    expect(after).to.have.length(READERS_PER_DATA_CENTRE);
    expect(after).to.not.include(gone);
  });

  it('lets a node without neighbours read', () => {
    const state = {nodeId: 'n-1', neighbours: [], heardMs: 0};
    expect(isReader(state)).to.equal(true);
  });

  it('lets others read once nothing fresh was heard', () => {
    const readers = readersOf(NEIGHBOURS);
    const other = NEIGHBOURS.find(id => !readers.includes(id)) ?? '';
    const state = {nodeId: other, neighbours: NEIGHBOURS, heardMs: 1_000};
    const limitMs = 1_000 + STALE_AFTER_MS;
    expect(readsStore(state, limitMs)).to.equal(false);
    expect(readsStore(state, limitMs + 1)).to.equal(true);
  });

  it('keeps neighbours of a working reader from the store', () => {
    // A read without news, the time to the next word, and their way.
    const oldestMs = READ_WAIT_MS + BEACON_INTERVAL_MS + WAY_MS;
    expect(oldestMs).to.be.below(STALE_AFTER_MS);
  });
});
