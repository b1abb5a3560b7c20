import {expect} from 'chai';

import {verdict} from '../../src/capacity/budget.js';

describe('verdict', () => {
  const cases: [number | undefined, number, number, string][] = [
    [4.5, 240, 2900, 'yes'],
    [4.8, 1, 1, 'processor near the limit'],
    [4.9, 1, 1, '**processor 1.02 times the budget**'],
    [1, 512, 1, '**memory 2 times the budget**'],
    [1, 1, 9216, '**bytes 3 times the budget**'],
    [undefined, 1, 1, 'processor not measured'],
    [
      undefined,
      512,
      1,
      'processor not measured, **memory 2 times the budget**',
    ],
  ];
  for (const [cpu, memory, bytes, expected] of cases) {
    it(`of ${cpu} %, ${memory} MiB, ${bytes} B/s: ${expected}`, () => {
      const figure = (value: number | undefined) => ({
        value,
        unit: '',
        from: [],
      });
      const row = {
        role: 'relay',
        cpu: figure(cpu),
        memory: figure(memory),
        bytes: figure(bytes),
      };
      expect(verdict(row)).to.equal(expected);
    });
  }
});
