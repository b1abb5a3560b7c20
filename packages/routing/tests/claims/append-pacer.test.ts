import {expect} from 'chai';

import {AppendPacer} from '../../src/claims/append-pacer.js';

const INTERVAL_MS = 80;
const HEARTBEAT_MS = 10_000;

/** Appends made in `ms` when claims always wait. */
function appendsIn(ms: number, writers: number): number {
  const pacer = new AppendPacer(INTERVAL_MS, HEARTBEAT_MS);
  let appends = 0;
  for (let nowMs = 0; nowMs < ms; nowMs++) {
    if (nowMs < pacer.dueAtMs(true)) continue;
    pacer.appended(writers, false, nowMs);
    appends += 1;
  }
  return appends;
}

describe('append pacer', () => {
  for (const writers of [1, 2, 5]) {
    it(`keeps the rate among ${writers} writers`, () => {
      const allowed = 80_000 / INTERVAL_MS;
      expect(appendsIn(80_000, writers) * writers).to.be.within(
        allowed,
        allowed + 5 * writers,
      );
    });
  }

  it('lets a claim go at once after a quiet time', () => {
    const pacer = new AppendPacer(INTERVAL_MS, HEARTBEAT_MS);
    pacer.appended(1, false, 0);
    expect(pacer.dueAtMs(true)).to.be.at.most(0);
    expect(pacer.dueAtMs(false)).to.equal(HEARTBEAT_MS);
  });

  it('lets answers wait for spare rate, but not for long', () => {
    const pacer = new AppendPacer(INTERVAL_MS, HEARTBEAT_MS);
    pacer.appended(1, false, 0);
    pacer.noteAnswer(100);
    expect(pacer.dueAtMs(false)).to.equal(150);
    for (let i = 0; i < 30; i++) pacer.appended(1, true, 100);
    expect(pacer.dueAtMs(false)).to.be.within(1_100, 2_200);
    pacer.dropAnswers();
    expect(pacer.dueAtMs(false)).to.equal(100 + HEARTBEAT_MS);
  });
});
