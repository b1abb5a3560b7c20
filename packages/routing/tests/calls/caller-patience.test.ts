import {expect} from 'chai';

import {CallerPatience} from '../../src/index.js';

describe('CallerPatience', () => {
  const cases: {
    title: string;
    /** Time in ms, and the time in ms that a caller states. */
    stated: [number, number][];
    elapsedMs: number;
  }[] = [
    {title: 'the first caller', stated: [[0, 1500]], elapsedMs: 0},
    {
      title: 'a caller that has come back',
      stated: [
        [0, 1500],
        [300, 1200],
      ],
      elapsedMs: 300,
    },
    {
      title: 'a difference of chance',
      stated: [
        [0, 1500],
        [10, 1490],
      ],
      elapsedMs: 0,
    },
    {
      title: 'no time stated',
      stated: [
        [0, 1500],
        [10, Infinity],
      ],
      elapsedMs: 0,
    },
    {
      title: 'callers that wait less than a minute ago',
      stated: [
        [0, 1500],
        [31_000, 900],
        [62_000, 900],
      ],
      elapsedMs: 0,
    },
  ];
  for (const {title, stated, elapsedMs} of cases) {
    it(`tells ${elapsedMs} ms for ${title}`, () => {
      const patience = new CallerPatience();
      const told = stated.map(([nowMs, remainingMs]) =>
        patience.elapsedMs('r-1', remainingMs, nowMs),
      );
      expect(told.at(-1)).to.equal(elapsedMs);
    });
  }

  it('keeps routes apart', () => {
    const patience = new CallerPatience();
    patience.elapsedMs('r-1', 1500, 0);
    expect(patience.elapsedMs('r-2', 800, 0)).to.equal(0);
  });
});
