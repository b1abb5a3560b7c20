import {expect} from 'chai';

import {NoticeDelays} from '../../src/config/notice-delays.js';

const PEER = {nodeId: 'n-1', incarnation: 1};
/** Difference in ms between the clocks of the two hosts. */
const CLOCKS_MS = -7_000;

describe('notice delays', () => {
  /** Records notices, each with the ms when sent and for which it was held. */
  function delaysOf(notices: readonly [number, number][]): number[] {
    const delays = new NoticeDelays();
    return notices.map(([sentMs, heldMs]) =>
      delays.record(PEER, sentMs, sentMs + CLOCKS_MS + heldMs),
    );
  }

  it('are counted from the notice that was held back least', () => {
    const notices: [number, number][] = [
      [0, 20],
      [300, 5],
      [600, 5],
      [900, 2_005],
      [1_200, 1_705],
    ];
    expect(delaysOf(notices)).to.deep.equal([0, 0, 0, 2_000, 1_700]);
  });

  it('are counted anew a while after the clock of the peer stood still', () => {
    const steady = Array.from({length: 150}, (unused, index) => index * 300);
    const stoodStillMs = 4_000;
    const delays = delaysOf(
      steady.map(ms => [ms, ms < 9_000 ? 5 : 5 + stoodStillMs]),
    );
    expect(delays.slice(0, 30)).to.deep.equal(Array(30).fill(0));
    expect(delays[30]).to.equal(stoodStillMs);
    expect(delays.at(-1)).to.equal(0);
  });

  it('start anew with a new incarnation of the peer', () => {
    const delays = new NoticeDelays();
    delays.record(PEER, 1_000, 1_000);
    const restarted = {...PEER, incarnation: 2};
    expect(delays.record(restarted, 1_000, 9_000)).to.equal(0);
    expect(delays.record(restarted, 1_300, 9_500)).to.equal(200);
  });
});
