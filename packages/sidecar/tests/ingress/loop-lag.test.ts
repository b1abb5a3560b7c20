import {ManualClock} from '@turmericmill/utils';
import {expect} from 'chai';

import {LoopLag} from '../../src/ingress/loop-lag.js';

describe('LoopLag', () => {
  it('is nothing while ticks come in time', () => {
    const clock = new ManualClock(1_000);
    const lag = new LoopLag(clock);
    clock.advance(115);
    expect(lag.mostWaitedMs).to.equal(0);
  });

  it('is the time by which the tick is late', () => {
    const clock = new ManualClock(1_000);
    const lag = new LoopLag(clock);
    clock.advance(900);
    expect(lag.mostWaitedMs).to.equal(800);
    expect(lag.expectedWaitMs).to.equal(400);
  });

  it('is over with the next tick', () => {
    const clock = new ManualClock(1_000);
    const lag = new LoopLag(clock);
    clock.advance(900);
    lag.tick();
    expect(lag.mostWaitedMs).to.equal(0);
  });
});
