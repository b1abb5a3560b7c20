import {expect} from 'chai';

import {CrashDetector} from '../../src/quarantine/crash-detector.js';

describe('CrashDetector', () => {
  const cases: [string, [string, number][], number, string[]][] = [
    ['no losses', [], 0, []],
    [
      'two recent losses',
      [
        ['a', 10],
        ['b', 11],
      ],
      500,
      ['a', 'b'],
    ],
    [
      'two losses of the same request',
      [
        ['a', 10],
        ['a', 11],
      ],
      500,
      ['a'],
    ],
    [
      'an old and a recent loss',
      [
        ['a', 10],
        ['b', 9_000],
      ],
      9_500,
      ['b'],
    ],
  ];
  for (const [name, losses, nowMs, expected] of cases) {
    it(`returns each recent fingerprint once for ${name}`, () => {
      const detector = new CrashDetector();
      for (const [id, atMs] of losses) detector.recordLoss(id, atMs);
      expect(detector.takeRecentLosses(nowMs)).to.deep.equal(expected);
      expect(detector.takeRecentLosses(nowMs)).to.deep.equal([]);
    });
  }

  it('keeps a bounded number of losses', () => {
    const detector = new CrashDetector();
    for (let i = 0; i < 10_000; i++) detector.recordLoss(`f${i}`, 0);
    expect(detector.takeRecentLosses(0)).to.have.length(256);
  });
});
