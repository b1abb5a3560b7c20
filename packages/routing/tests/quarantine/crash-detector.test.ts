import {expect} from 'chai';

import {CrashDetector} from '../../src/quarantine/crash-detector.js';

describe('CrashDetector', () => {
  const cases: [string, [string, number][], number, string[]][] = [
    ['no loss', [], 0, []],
    [
      'losses just before',
      [
        ['a', 10],
        ['b', 11],
      ],
      500,
      ['a', 'b'],
    ],
    [
      'the same request twice',
      [
        ['a', 10],
        ['a', 11],
      ],
      500,
      ['a'],
    ],
    [
      'a loss long before',
      [
        ['a', 10],
        ['b', 9_000],
      ],
      9_500,
      ['b'],
    ],
  ];
  for (const [name, losses, goneMs, expected] of cases) {
    it(`names the requests after ${name}`, () => {
      const watch = new CrashDetector();
      for (const [id, atMs] of losses) watch.recordLoss(id, atMs);
      expect(watch.takeRecentLosses(goneMs)).to.deep.equal(expected);
      expect(watch.takeRecentLosses(goneMs)).to.deep.equal([]);
    });
  }

  it('keeps a bounded number of losses', () => {
    const watch = new CrashDetector();
    for (let i = 0; i < 10_000; i++) watch.recordLoss(`f${i}`, 0);
    expect(watch.takeRecentLosses(0)).to.have.length(256);
  });
});
