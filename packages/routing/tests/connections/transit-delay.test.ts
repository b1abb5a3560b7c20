import {expect} from 'chai';

import {TransitDelay} from '../../src/index.js';

describe('TransitDelay', () => {
  /** Times in ms of sending and reading, by clocks that differ by 50,000 ms. */
  const cases: {
    title: string;
    messages: [sentMs: number, readMs: number][];
    excessMs: number;
  }[] = [
    {title: 'the first message', messages: [[0, 50_900]], excessMs: 0},
    {
      title: 'a message that took as long as others',
      messages: [
        [0, 50_002],
        [100, 50_102],
      ],
      excessMs: 0,
    },
    {
      title: 'a message that was delayed',
      messages: [
        [0, 50_002],
        [100, 50_802],
      ],
      excessMs: 700,
    },
    {
      title: 'a message after the sender was paused for five seconds',
      messages: [
        [0, 50_002],
        [100, 55_102],
      ],
      excessMs: 2_000,
    },
    {
      title: 'a sender that was paused some time ago',
      messages: [
        [0, 50_002],
        [100, 55_102],
        [4_200, 59_202],
        [8_300, 63_302],
      ],
      excessMs: 0,
    },
  ];
  for (const {title, messages, excessMs} of cases) {
    it(`reports ${excessMs} ms for ${title}`, () => {
      const delay = new TransitDelay();
      const reported = messages.map(([sentMs, readMs]) =>
        delay.excessMs(sentMs, readMs),
      );
      expect(reported.at(-1)).to.equal(excessMs);
    });
  }
});
