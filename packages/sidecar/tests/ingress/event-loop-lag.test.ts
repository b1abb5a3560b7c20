import {ManualClock} from '@turmericmill/utils';
import {expect} from 'chai';

import {EventLoopLag} from '../../src/ingress/event-loop-lag.js';

describe('EventLoopLag', () => {
  it('is 0 while ticks are on time', () => {
    const clock = new ManualClock(1_000);
    const lag = new EventLoopLag(clock);
    clock.advance(115);
    expect(lag.maxWaitMs).to.equal(0);
  });

  it('is the time by which the tick is late', () => {
    const clock = new ManualClock(1_000);
    const lag = new EventLoopLag(clock);
    clock.advance(900);
    expect(lag.maxWaitMs).to.equal(800);
    expect(lag.expectedWaitMs).to.equal(400);
  });

  it('is 0 again after the next tick', () => {
    const clock = new ManualClock(1_000);
    const lag = new EventLoopLag(clock);
    clock.advance(900);
    lag.tick();
    expect(lag.maxWaitMs).to.equal(0);
  });
});
