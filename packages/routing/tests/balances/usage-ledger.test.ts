import {expect} from 'chai';

import {SeededRandom} from '@turmericmill/utils';

import {
  CheckpointAssembler,
  REMEMBER_CLOSED_MS,
  UsageLedger,
  type UsageRow,
} from '../../src/balances/index.js';

const DAY_MS = REMEMBER_CLOSED_MS;
const START_MS = 10 * DAY_MS;

function row(nodeId: string, started: number, calls: number): UsageRow {
  return {nodeId, incarnation: START_MS + started, calls: {c: calls}};
}

function usage(...rows: UsageRow[]): object {
  return {type: 'usage', atMs: START_MS, rows};
}

function close(nodeId: string, started: number): object {
  const nodes = [{nodeId, incarnation: START_MS + started}];
  return {type: 'close', atMs: START_MS, nodes};
}

function foldAll(records: readonly object[]): UsageLedger {
  const ledger = new UsageLedger();
  records.forEach((record, i) => ledger.fold(i, JSON.stringify(record)));
  return ledger;
}

describe('usage ledger', () => {
  const later = {type: 'usage', atMs: START_MS + 3 * DAY_MS, rows: []};
  const cases: {name: string; records: object[]; total: number}[] = [
    {
      name: 'takes a repeated report once',
      records: [usage(row('n', 1, 5)), usage(row('n', 1, 5))],
      total: 5,
    },
    {
      name: 'keeps the highest of crossed reports',
      records: [usage(row('n', 1, 7)), usage(row('n', 1, 5))],
      total: 7,
    },
    {
      name: 'adds up nodes and starts',
      records: [
        usage(row('n', 1, 7), row('m', 1, 1)),
        usage(row('n', 2, 2)),
        usage(row('n', 2, 3)),
      ],
      total: 11,
    },
    {
      name: 'ignores a report of an earlier start',
      records: [usage(row('n', 2, 2)), usage(row('n', 1, 9))],
      total: 2,
    },
    {
      name: 'sums a closed node up once',
      records: [
        usage(row('n', 1, 7)),
        close('n', 1),
        close('n', 1),
        usage(row('n', 1, 7)),
      ],
      total: 7,
    },
    {
      name: 'counts a closed node that starts again',
      records: [usage(row('n', 1, 7)), close('n', 1), usage(row('n', 2, 1))],
      total: 8,
    },
    {
      name: 'ignores the closing of an earlier start',
      records: [
        usage(row('n', 1, 7)),
        usage(row('n', 2, 1)),
        close('n', 1),
        usage(row('n', 2, 2)),
      ],
      total: 9,
    },
    {
      name: 'ignores a late report after the closed node is forgotten',
      records: [
        usage(row('n', 1, 7)),
        close('n', 1),
        later,
        usage(row('n', 1, 9)),
      ],
      total: 7,
    },
    {
      name: 'skips what is malformed',
      records: [
        {type: 'usage', atMs: 1, rows: [{nodeId: 'n'}]},
        {type: 'usage', atMs: 1, rows: [{...row('n', 1, 1), calls: {c: -1}}]},
        {type: 'close', atMs: 'now', nodes: []},
        {type: 'other', atMs: 1},
        usage(row('n', 1, 1)),
      ],
      total: 1,
    },
  ];
  for (const {name, records, total} of cases) {
    it(name, () => {
      expect(foldAll(records).total('c')).to.equal(total);
    });
  }

  it('forgets closed nodes, so that its state is bounded', () => {
    const records: object[] = [];
    for (let i = 0; i < 50; i++) {
      records.push(usage(row(`n${i}`, 1, 1)), close(`n${i}`, 1));
    }
    const ledger = foldAll([...records, later]);
    expect(ledger.size).to.deep.equal({rows: 0, closed: 0});
    expect(ledger.total('c')).to.equal(50);
  });

  for (const seed of [1, 2, 3, 5, 8]) {
    it(`restores a checkpoint and goes on alike (seed ${seed})`, () => {
      const random = new SeededRandom(seed);
      const records = randomRecords(random);
      const half = random.nextInt(records.length);
      const first = foldAll(records.slice(0, half));
      const collector = new CheckpointAssembler();
      const parts = first.checkpoint('x', 2);
      for (const part of random.sample(parts, parts.length)) {
        collector.add(JSON.stringify(part));
        collector.add(JSON.stringify(part));
      }
      const restored = new UsageLedger();
      restored.restore(collector.parts);
      records.forEach((record, i) => restored.fold(i, JSON.stringify(record)));
      const whole = foldAll(records);
      expect(restored.total('c')).to.equal(whole.total('c'));
      expect(restored.size).to.deep.equal(whole.size);
    });
  }

  it('ignores a checkpoint of which parts are missing', () => {
    const ledger = foldAll([usage(row('n', 1, 1), row('m', 1, 1))]);
    const collector = new CheckpointAssembler();
    const [part] = ledger.checkpoint('x', 1);
    collector.add(JSON.stringify(part));
    expect(collector.parts).to.deep.equal([]);
  });
});

/** Reports and closings of a few nodes, some of them repeated or crossed. */
function randomRecords(random: SeededRandom): object[] {
  const records: object[] = [];
  for (let i = 0; i < 60; i++) {
    const nodeId = `n${random.nextInt(5)}`;
    const started = random.nextInt(4);
    if (random.next() < 0.2) records.push(close(nodeId, started));
    else records.push(usage(row(nodeId, started, random.nextInt(100))));
  }
  return records;
}
