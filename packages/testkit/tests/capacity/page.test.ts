import {expect} from 'chai';

import {renderPage} from '../../src/capacity/page.js';
import {fitLine} from '../../src/capacity/slopes.js';

describe('renderPage', () => {
  it('marks figures whose slopes are not measured', () => {
    const page = renderPage({});
    expect(page).to.contain('not measured');
    expect(page).not.to.match(/NaN|undefined|Infinity/);
  });

  it('derives figures from slopes', () => {
    const command = 'npm run bench -- membership';
    const page = renderPage({
      'membership.quietBytesBase': {value: 300, command},
      'membership.quietBytesPerMember': {value: 0.1, command},
    });
    expect(page).to.contain('| membership, quiet | 508 B/s |');
  });
});

describe('fitLine', () => {
  const cases: {points: [number, number][]; base: number; slope: number}[] = [
    {
      points: [
        [1, 3],
        [2, 5],
        [3, 7],
      ],
      base: 1,
      slope: 2,
    },
    {
      points: [
        [1, 4],
        [3, 4],
      ],
      base: 4,
      slope: 0,
    },
    {points: [[5, 4]], base: 4, slope: 0},
  ];
  for (const {points, base, slope} of cases) {
    it(`through ${JSON.stringify(points)}`, () => {
      const line = fitLine(points.map(([x, y]) => ({x, y})));
      expect(line.base).to.be.closeTo(base, 1e-9);
      expect(line.slope).to.be.closeTo(slope, 1e-9);
    });
  }
});
