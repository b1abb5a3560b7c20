import {expect} from 'chai';

import {SeededRandom} from '@turmericmill/utils';

import {
  AcceptLimiter,
  negotiateVersion,
  ReconnectSchedule,
} from '../src/index.js';

describe('negotiateVersion', () => {
  const cases: {
    own: [number, number];
    theirs: [number, number];
    expected: string;
  }[] = [
    {own: [1, 1], theirs: [1, 1], expected: '1'},
    {own: [1, 3], theirs: [2, 5], expected: '3'},
    {own: [2, 5], theirs: [1, 3], expected: '3'},
    {own: [3, 4], theirs: [1, 2], expected: 'version'},
    {own: [1, 2], theirs: [3, 4], expected: 'version'},
    {own: [1, 1], theirs: [2, 1], expected: 'malformed'},
    {own: [1, 1], theirs: [NaN, 1], expected: 'malformed'},
    {own: [1, 1], theirs: ['1', 1] as never, expected: 'malformed'},
  ];
  for (const {own, theirs, expected} of cases) {
    it(`${own.join('-')} with ${theirs.join('-')} gives ${expected}`, () => {
      const [minVersion, maxVersion] = theirs;
      const result = negotiateVersion(own[0], own[1], {minVersion, maxVersion});
      const got = result.isOk() ? String(result.value) : result.error.reason;
      expect(got).to.equal(expected);
    });
  }
});

describe('ReconnectSchedule', () => {
  it('spreads the reconnections of a thousand nodes over time', () => {
    const random = new SeededRandom(7);
    const times = Array.from({length: 1_000}, () => {
      const schedule = new ReconnectSchedule();
      for (let attempt = 0; attempt < 6; attempt += 1) {
        schedule.recordFailure(0, random);
      }
      return schedule.nextAttemptAtMs;
    });
    const busiest = busiestWindow(times, 100);
    expect(Math.max(...times)).to.be.at.most(5_000);
    expect(busiest).to.be.below(1_000 / 10);
  });

  it('allows a connection at once after a success', () => {
    const schedule = new ReconnectSchedule();
    schedule.recordFailure(0, new SeededRandom(1));
    schedule.recordSuccess();
    expect(schedule.mayConnect(0)).to.equal(true);
  });
});

describe('AcceptLimiter', () => {
  it('accepts a burst, then a limited rate', () => {
    const limiter = new AcceptLimiter(0, 10, 20);
    const countAccepted = (nowMs: number, attempts: number) =>
      Array.from({length: attempts}, () => limiter.accept(nowMs)).filter(
        Boolean,
      ).length;
    expect(countAccepted(0, 100)).to.equal(20);
    expect(countAccepted(1_000, 100)).to.equal(10);
    expect(countAccepted(500, 100)).to.equal(0);
  });
});

/** Maximum number of times within one window of `widthMs`. */
function busiestWindow(times: number[], widthMs: number): number {
  const counts = new Map<number, number>();
  for (const time of times) {
    const window = Math.floor(time / widthMs);
    counts.set(window, (counts.get(window) ?? 0) + 1);
  }
  return Math.max(...counts.values());
}
