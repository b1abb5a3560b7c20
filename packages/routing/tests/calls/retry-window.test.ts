import {expect} from 'chai';

import {RetryWindow} from '../../src/index.js';

const ALLOWANCE = {share: 0.2, extra: 1, windowMs: 10_000};

describe('RetryWindow', () => {
  it('allows the share of the requests plus the extra retries', () => {
    const retries = new RetryWindow(ALLOWANCE);
    for (let i = 0; i < 10; i++) retries.recordRequest(0);
    const acquired = [1, 2, 3, 4].map(() => retries.acquire(10));
    expect(acquired).to.deep.equal([true, true, true, false]);
  });

  it('no longer counts retries that have left the window', () => {
    const retries = new RetryWindow(ALLOWANCE);
    retries.acquire(0);
    expect(retries.acquire(9_000)).to.equal(false);
    expect(retries.acquire(11_000)).to.equal(true);
  });

  it('stays within the limit in every span when all fail after a calm period', () => {
    const retries = new RetryWindow(ALLOWANCE);
    const acquiredMs: number[] = [];
    const requestedMs: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
      if (nowMs % 20 === 0) {
        retries.recordRequest(nowMs);
        requestedMs.push(nowMs);
      }
      const allFail = nowMs > 20_000;
      if (allFail && retries.acquire(nowMs)) acquiredMs.push(nowMs);
    }
    const countIn = (times: number[], fromMs: number) =>
      times.filter(ms => ms >= fromMs && ms < fromMs + 10_000).length;
    for (let fromMs = 0; fromMs <= 50_000; fromMs += 250) {
      // The operators' check counts the requests of this window or of one that
      // begins 5 or 10 s earlier.
      const requests = Math.max(
        countIn(requestedMs, fromMs),
        countIn(requestedMs, fromMs - 5_000),
        countIn(requestedMs, fromMs - 10_000),
      );
      const allowed = ALLOWANCE.share * requests + ALLOWANCE.extra;
      expect(countIn(acquiredMs, fromMs), `from ${fromMs} ms`).to.be.at.most(
        allowed,
      );
    }
    expect(acquiredMs.length).to.be.above(0.15 * requestedMs.length * (2 / 3));
  });
});
