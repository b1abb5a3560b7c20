import {expect} from 'chai';

import {LinkPace} from '../../src/connections/link-pace.js';

/** 8 Mbit/s. */
const BYTES_PER_MS = 1_000;
const ANSWER_BYTES = 90_000;

describe('LinkPace', () => {
  it('has room while little waits at the link', () => {
    const pace = new LinkPace(BYTES_PER_MS, 0);
    pace.update(45_000, 0);
    expect(pace.roomAtMs).to.be.at.most(0);
  });

  it('has room again once the link has passed on most bytes', () => {
    const pace = new LinkPace(BYTES_PER_MS, 0);
    pace.update(ANSWER_BYTES, 0);
    expect(pace.roomAtMs).to.be.closeTo(50, 0.001);
    pace.update(ANSWER_BYTES, 50);
    expect(pace.roomAtMs).to.be.at.most(50.001);
  });

  it('does not save up bandwidth of an idle time', () => {
    const pace = new LinkPace(BYTES_PER_MS, 0);
    pace.update(0, 10_000);
    pace.update(ANSWER_BYTES, 10_000);
    expect(pace.roomAtMs).to.be.closeTo(10_050, 0.001);
  });

  it('passes on nearly what the link carries while answers are always due', () => {
    const pace = new LinkPace(BYTES_PER_MS, 0);
    let sentBytes = 0;
    let now = 0;
    while (now < 10_000) {
      sentBytes += ANSWER_BYTES;
      pace.update(sentBytes, now);
      now = Math.max(now, pace.roomAtMs);
    }
    expect(sentBytes / now / BYTES_PER_MS).to.be.within(0.88, 0.92);
  });
});
