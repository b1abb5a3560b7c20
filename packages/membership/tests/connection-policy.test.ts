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
    want: string;
  }[] = [
    {own: [1, 1], theirs: [1, 1], want: '1'},
    {own: [1, 3], theirs: [2, 5], want: '3'},
    {own: [2, 5], theirs: [1, 3], want: '3'},
    {own: [3, 4], theirs: [1, 2], want: 'version'},
    {own: [1, 2], theirs: [3, 4], want: 'version'},
    {own: [1, 1], theirs: [2, 1], want: 'malformed'},
    {own: [1, 1], theirs: [NaN, 1], want: 'malformed'},
    {own: [1, 1], theirs: ['1', 1] as never, want: 'malformed'},
  ];
  for (const {own, theirs, want} of cases) {
    it(`${own.join('-')} with ${theirs.join('-')} gives ${want}`, () => {
      const [minVersion, maxVersion] = theirs;
      const result = negotiateVersion(own[0], own[1], {minVersion, maxVersion});
      const got = result.isOk() ? String(result.value) : result.error.reason;
      expect(got).to.equal(want);
    });
  }
});

describe('ReconnectSchedule', () => {
  it('spreads the return of a thousand nodes', () => {
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

  it('may connect at once after it was established', () => {
    const schedule = new ReconnectSchedule();
    schedule.recordFailure(0, new SeededRandom(1));
    schedule.recordSuccess();
    expect(schedule.mayConnect(0)).to.equal(true);
  });
});

describe('AcceptLimiter', () => {
  it('takes a burst, then a bounded rate', () => {
    const limiter = new AcceptLimiter(0, 10, 20);
    const taken = (nowMs: number, tries: number) =>
      Array.from({length: tries}, () => limiter.accept(nowMs)).filter(Boolean)
        .length;
    expect(taken(0, 100)).to.equal(20);
    expect(taken(1_000, 100)).to.equal(10);
    expect(taken(500, 100)).to.equal(0);
  });
});

/** Largest number of times that fall into one window of `widthMs`. */
function busiestWindow(times: number[], widthMs: number): number {
  const counts = new Map<number, number>();
  for (const time of times) {
    const window = Math.floor(time / widthMs);
    counts.set(window, (counts.get(window) ?? 0) + 1);
  }
  return Math.max(...counts.values());
}
