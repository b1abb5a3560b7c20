import {expect} from 'chai';

import {SystemClock} from '../src/index.js';

describe('SystemClock', () => {
  const timeOfDay = Date.now;

  afterEach(() => {
    Date.now = timeOfDay;
  });

  for (const stepMs of [-3_600_000, 3_600_000]) {
    it(`does not follow a step of the time of day by ${stepMs} ms`, () => {
      const clock = new SystemClock();
      const before = clock.now();
      Date.now = () => timeOfDay() + stepMs;
      expect(clock.now() - before).to.be.within(0, 1_000);
    });
  }

  it('counts from the time of day at the start', () => {
    expect(Math.abs(new SystemClock().now() - Date.now())).to.be.below(60_000);
  });
});
