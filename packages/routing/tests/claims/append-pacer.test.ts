import {expect} from 'chai';

import {AppendPacer} from '../../src/claims/append-pacer.js';

const INTERVAL_MS = 80;
const HEARTBEAT_MS = 10_000;

/** Counts the appends within `ms` while claims are always waiting. */
function appendsIn(ms: number, writers: number): number {
  const pacer = new AppendPacer(INTERVAL_MS, HEARTBEAT_MS);
  let appends = 0;
  for (let nowMs = 0; nowMs < ms; nowMs++) {
    if (nowMs < pacer.nextAppendAtMs(true)) continue;
    pacer.recordAppend(writers, false, nowMs);
    appends += 1;
  }
  return appends;
}

describe('AppendPacer', () => {
  for (const writers of [1, 2, 5]) {
    it(`keeps within the rate with ${writers} writers`, () => {
      const allowed = 80_000 / INTERVAL_MS;
      expect(appendsIn(80_000, writers) * writers).to.be.within(
        allowed,
        allowed + 5 * writers,
      );
    });
  }

  it('appends a claim at once after an idle period', () => {
    const pacer = new AppendPacer(INTERVAL_MS, HEARTBEAT_MS);
    pacer.recordAppend(1, false, 0);
    expect(pacer.nextAppendAtMs(true)).to.be.at.most(0);
    expect(pacer.nextAppendAtMs(false)).to.equal(HEARTBEAT_MS);
  });

  it('delays answers while the rate is used up, but not beyond the maximum', () => {
    const pacer = new AppendPacer(INTERVAL_MS, HEARTBEAT_MS);
    pacer.recordAppend(1, false, 0);
    pacer.recordAnswer(100);
    expect(pacer.nextAppendAtMs(false)).to.equal(150);
    for (let i = 0; i < 30; i++) pacer.recordAppend(1, true, 100);
    expect(pacer.nextAppendAtMs(false)).to.be.within(1_100, 2_200);
    pacer.clearAnswers();
    expect(pacer.nextAppendAtMs(false)).to.equal(100 + HEARTBEAT_MS);
  });
});
