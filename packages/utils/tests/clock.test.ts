import {expect} from 'chai';

import {SystemClock} from '../src/index.js';

describe('SystemClock', () => {
  const wallClock = Date.now;

  afterEach(() => {
    Date.now = wallClock;
  });

  for (const stepMs of [-3_600_000, 3_600_000]) {
    it(`ignores a step of the wall clock by ${stepMs} ms`, () => {
      const clock = new SystemClock();
      const before = clock.now();
      Date.now = () => wallClock() + stepMs;
      expect(clock.now() - before).to.be.within(0, 1_000);
    });
  }

  it('starts from the wall-clock time', () => {
    expect(Math.abs(new SystemClock().now() - Date.now())).to.be.below(60_000);
  });
});
