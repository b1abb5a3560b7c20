import {expect} from 'chai';

import {ClassLoads} from '../../src/admission/class-loads.js';

const SLOTS = 4;
/** Time in ms over which all slots are busy; far above the decay time. */
const BUSY_MS = 20_000;
const CALL_MS = 100;

/** Four slots, each busy with calls of the class for `share` of the time. */
function recordShare(
  loads: ClassLoads,
  cls: string,
  rank: number,
  slackMs: number,
  share: number,
): void {
  for (let nowMs = CALL_MS; nowMs <= BUSY_MS; nowMs += CALL_MS) {
    loads.recordArrival(cls, rank, slackMs);
    loads.recordRun(cls, CALL_MS * SLOTS * share, nowMs);
  }
}

describe('ClassLoads', () => {
  let loads: ClassLoads;

  beforeEach(() => {
    loads = new ClassLoads();
    recordShare(loads, 'urgent', 1, 400, 0.5);
    recordShare(loads, 'short', 2, 100, 0.25);
  });

  const CASES: Record<string, {rank: number; slackMs: number; share: number}> =
    {
      'nothing goes before the most urgent class': {
        rank: 1,
        slackMs: 400,
        share: 0,
      },
      'a class of a lower rank goes before': {rank: 2, slackMs: 50, share: 0.5},
      'a class of the same rank with less slack goes before': {
        rank: 2,
        slackMs: 300,
        share: 0.75,
      },
    };
  for (const [name, {rank, slackMs, share}] of Object.entries(CASES)) {
    it(name, () => {
      const before = loads.shareBefore(rank, slackMs, SLOTS, BUSY_MS);
      expect(before).to.be.closeTo(share, 0.03);
    });
  }

  it('forgets a class that has not run for long', () => {
    const laterMs = BUSY_MS + 20_000;
    expect(loads.shareBefore(2, 300, SLOTS, laterMs)).to.be.below(0.01);
  });

  it('ignores runs of a class that has not arrived', () => {
    loads.recordRun('unknown', CALL_MS, BUSY_MS);
    expect(loads.shareBefore(0, 0, SLOTS, BUSY_MS)).to.equal(0);
  });
});
