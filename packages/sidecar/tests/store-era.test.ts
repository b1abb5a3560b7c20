import bunyan from 'bunyan';
import {expect} from 'chai';

import {
  isOutdated,
  StoreEra,
  type Era,
  type EraSource,
} from '../src/store-era.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});

describe('era of the store', () => {
  const cases: readonly [Era, Era, boolean][] = [
    [undefined, undefined, false],
    [undefined, 1, false],
    [1, undefined, false],
    [1, 1, false],
    [1, 2, true],
    [2, 1, false],
  ];
  for (const [era, current, expected] of cases) {
    const word = expected ? 'is' : 'is not';
    it(`${word} outdated: ${era} while ${current} is known`, () => {
      expect(isOutdated(era, current)).to.equal(expected);
    });
  }

  // Answers and notices of before the return arrive late, in any order.
  it('rises only, and names each rise once', () => {
    const storeEra = new StoreEra(SILENT);
    const rises: [Era, EraSource][] = [];
    storeEra.onRise(source => rises.push([storeEra.current, source]));
    const observed: [number, EraSource][] = [
      [3, 'store'],
      [3, 'peer'],
      [4, 'peer'],
      [3, 'store'],
      [4, 'store'],
      [6, 'store'],
      [5, 'peer'],
    ];
    for (const [era, source] of observed) storeEra.observe(era, source);
    expect(rises).to.deep.equal([
      [4, 'peer'],
      [6, 'store'],
    ]);
  });

  it('does not call a listener that has ended', () => {
    const storeEra = new StoreEra(SILENT);
    let rises = 0;
    const unsubscribe = storeEra.onRise(() => (rises += 1));
    storeEra.observe(1, 'store');
    storeEra.observe(2, 'store');
    unsubscribe();
    storeEra.observe(3, 'store');
    expect(rises).to.equal(1);
  });
});
