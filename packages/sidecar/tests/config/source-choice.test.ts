import {expect} from 'chai';

import {READ_WAIT_MS} from '../../src/config/config-follower.js';
import {
  BEACON_INTERVAL_MS,
  isReader,
  READERS_PER_DATA_CENTRE,
  mustReadStore,
  STALE_AFTER_MS,
} from '../../src/config/source-choice.js';

const NODE_IDS = ['n-1', 'n-2', 'n-3', 'n-4', 'n-5'];

function readersOf(localNodeIds: string[]): string[] {
  return localNodeIds.filter(nodeId =>
    isReader({nodeId, localNodeIds, confirmedMs: 0}),
  );
}

/** Transit time in ms of a read's answer and a notice, for starved nodes. */
const TRANSIT_MS = 250;

describe('source choice', () => {
  it('selects the same readers on every node', () => {
    expect(readersOf(NODE_IDS)).to.have.length(READERS_PER_DATA_CENTRE);
  });

  it('selects another reader when one has left', () => {
    const [departed] = readersOf(NODE_IDS);
    const after = readersOf(NODE_IDS.filter(id => id !== departed));
    expect(after).to.have.length(READERS_PER_DATA_CENTRE);
    expect(after).to.not.include(departed);
  });

  it('lets a node alone in its data centre read the store', () => {
    const state = {nodeId: 'n-1', localNodeIds: [], confirmedMs: 0};
    expect(isReader(state)).to.equal(true);
  });

  it('lets other nodes read the store after a time without notices', () => {
    const readers = readersOf(NODE_IDS);
    const other = NODE_IDS.find(id => !readers.includes(id)) ?? '';
    const state = {nodeId: other, localNodeIds: NODE_IDS, confirmedMs: 1_000};
    const limitMs = 1_000 + STALE_AFTER_MS;
    expect(mustReadStore(state, limitMs)).to.equal(false);
    expect(mustReadStore(state, limitMs + 1)).to.equal(true);
  });

  it('keeps nodes with a working reader from reading the store', () => {
    // A read without changes, the time to the next beacon, and their transit.
    const maxAgeMs = READ_WAIT_MS + BEACON_INTERVAL_MS + TRANSIT_MS;
    expect(maxAgeMs).to.be.below(STALE_AFTER_MS);
  });
});
