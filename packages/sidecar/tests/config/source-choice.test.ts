import {expect} from 'chai';

import {
  BEACON_INTERVAL_MS,
  confirmedByReadMs,
  maySendToAll,
  rankNodes,
  readTransitMs,
  retryCapMs,
  sourceTimes,
  takeoverMs,
  type SourceState,
} from '../../src/config/source-choice.js';

const NODE_IDS = ['n-1', 'n-2', 'n-3', 'n-4', 'n-5'];
const BOUND_MS = 2_000;
const TIMES = sourceTimes(BOUND_MS);
const CONFIRMED_MS = 1_000;

/** Transit time in ms of a read's answer and a notice, for starved nodes. */
const TRANSIT_MS = 250;

function isReading(state: Partial<SourceState>, ageMs: number): boolean {
  const whole = {
    rank: 1,
    isActing: false,
    confirmedMs: CONFIRMED_MS,
    ...state,
  };
  return takeoverMs(whole, TIMES) < CONFIRMED_MS + ageMs;
}

describe('source choice', () => {
  it('ranks the nodes in the same order on every node', () => {
    const reversed = [...NODE_IDS].reverse();
    expect(rankNodes(reversed)).to.deep.equal(rankNodes(NODE_IDS));
  });

  it('keeps the order of the others when a node has left', () => {
    const [departed, ...others] = rankNodes(NODE_IDS);
    const after = rankNodes(NODE_IDS.filter(id => id !== departed));
    expect(after).to.deep.equal(others);
  });

  it('lets the node of rank 0 read the store', () => {
    expect(isReading({rank: 0}, 0)).to.equal(true);
  });

  it('lets a node that has taken over go on', () => {
    expect(isReading({rank: 3, isActing: true}, 0)).to.equal(true);
  });

  it('lets the other nodes take over one by one without notices', () => {
    const {staleAfterMs, takeoverStepMs} = TIMES;
    for (const rank of [1, 2, 3]) {
      const takeoverMs = staleAfterMs + (rank - 1) * takeoverStepMs;
      expect(isReading({rank}, takeoverMs)).to.equal(false);
      expect(isReading({rank}, takeoverMs + 1)).to.equal(true);
    }
  });

  for (const boundMs of [1_999, 2_000, 2_500, 3_000]) {
    it(`waits for whole milliseconds, as the store demands: ${boundMs} ms`, () => {
      expect(sourceTimes(boundMs).readWaitMs).to.satisfy(Number.isInteger);
    });

    it(`keeps the others from reading beside a working reader: ${boundMs} ms`, () => {
      const {readWaitMs, staleAfterMs} = sourceTimes(boundMs);
      // A read without changes, the time to the next beacon, and their transit.
      const maxAgeMs = readWaitMs + BEACON_INTERVAL_MS + TRANSIT_MS;
      expect(maxAgeMs).to.be.below(staleAfterMs);
    });

    it(`puts a change in force when two readers are cut off: ${boundMs} ms`, () => {
      const {staleAfterMs, takeoverStepMs} = sourceTimes(boundMs);
      const inForceMs = staleAfterMs + 2 * takeoverStepMs + TRANSIT_MS;
      expect(inForceMs).to.be.below(boundMs);
    });
  }

  for (const boundMs of [2_000, 2_500, 3_000]) {
    it(`puts a change in force at any rank without a notice: ${boundMs} ms`, () => {
      const state = {rank: 40, isActing: false, confirmedMs: 0};
      const inForceMs = takeoverMs(state, sourceTimes(boundMs)) + TRANSIT_MS;
      expect(inForceMs).to.be.below(boundMs);
    });
  }

  it('spreads the takeovers of a large data centre', () => {
    const dueMs = Array.from({length: 40}, (unused, index) =>
      takeoverMs({rank: index + 1, isActing: false, confirmedMs: 0}, TIMES),
    );
    const sorted = [...dueMs].sort((a, b) => a - b);
    expect(dueMs).to.deep.equal(sorted);
    expect(new Set(dueMs)).to.have.property('size', dueMs.length);
  });

  describe('age of a read', () => {
    const WAIT_MS = 800;
    const SENT_MS = 10_000;
    const BEFORE_MS = 20;

    /** Time in ms of the answer, if unchanged, transit and confirmed after it. */
    const cases: [string, number, number, boolean, number, number][] = [
      ['a read of the newest version', 90, 0, false, 20, 0],
      ['a short read of the newest version', 8, 0, false, 8, 0],
      ['a wait without a change', 808, WAIT_MS, true, 8, 800],
      ['a wait behind a full link', 1_800, WAIT_MS, true, 1_000, 800],
      ['a change soon after the start', 10, WAIT_MS, false, 20, 0],
      ['a change within the wait', 500, WAIT_MS, false, 20, 480],
      ['a store that does not wait', 8, WAIT_MS, true, 0, 8],
    ];
    for (const [title, answerMs, waitMs, isUnchanged, transitMs, ms] of cases) {
      it(`is counted from what the store surely had: ${title}`, () => {
        const receivedMs = SENT_MS + answerMs;
        const read = {sentMs: SENT_MS, receivedMs, waitMs, isUnchanged};
        expect(readTransitMs(read, BEFORE_MS)).to.equal(transitMs);
        expect(confirmedByReadMs(read, transitMs)).to.equal(SENT_MS + ms);
      });
    }

    it('keeps a node behind a full link from sending many bytes', () => {
      expect(maySendToAll(30_000, 20)).to.equal(true);
      expect(maySendToAll(30_000, 1_000)).to.equal(false);
      expect(maySendToAll(200, 1_000)).to.equal(true);
    });
  });

  it('lets nodes of high ranks retry rarely', () => {
    expect(retryCapMs(20)).to.be.above(retryCapMs(0));
  });
});
