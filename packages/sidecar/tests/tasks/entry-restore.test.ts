import {SeededRandom} from '@turmericmill/utils';
import {expect} from 'chai';

import {restoreAtMs} from '../../src/tasks/entry-restore.js';

const NOW_MS = 5_000;
const NODES = 500;

/** Delays in ms of many nodes that learn of a return at the same time. */
function delays(hostCount: number, hasDepartures: boolean): number[] {
  const random = new SeededRandom(1);
  const entry = {hostCount, hasDepartures};
  return Array.from(
    {length: NODES},
    () => restoreAtMs(entry, random, NOW_MS) - NOW_MS,
  );
}

describe('time at which an entry is written again', () => {
  const cases: readonly [number, boolean, number][] = [
    [1, false, 20],
    [12, false, 240],
    [12, true, 60],
    [195, false, 3_900],
    [195, true, 975],
  ];
  for (const [hosts, hasDepartures, spreadMs] of cases) {
    const what = hasDepartures ? 'departures' : 'an endpoint';
    it(`is spread over ${spreadMs} ms at ${hosts} hosts: ${what}`, () => {
      const all = delays(hosts, hasDepartures);
      expect(Math.min(...all)).to.be.at.least(0);
      expect(Math.max(...all)).to.be.below(spreadMs);
      for (let quarter = 0; quarter < 4; quarter++) {
        const fromMs = (quarter / 4) * spreadMs;
        const some = all.filter(
          ms => ms >= fromMs && ms < fromMs + spreadMs / 4,
        );
        expect(some.length).to.be.within(NODES / 8, NODES / 2);
      }
    });
  }
});
