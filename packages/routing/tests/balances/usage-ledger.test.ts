import {expect} from 'chai';

import {SeededRandom} from '@turmericmill/utils';

import {
  CheckpointAssembler,
  CLOSED_RETENTION_MS,
  UsageLedger,
  type UsageRow,
} from '../../src/balances/index.js';

const DAY_MS = CLOSED_RETENTION_MS;
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

describe('UsageLedger', () => {
  const later = {type: 'usage', atMs: START_MS + 3 * DAY_MS, rows: []};
  const cases: {name: string; records: object[]; total: number}[] = [
    {
      name: 'counts a repeated report once',
      records: [usage(row('n', 1, 5)), usage(row('n', 1, 5))],
      total: 5,
    },
    {
      name: 'keeps the highest count of reports out of order',
      records: [usage(row('n', 1, 7)), usage(row('n', 1, 5))],
      total: 7,
    },
    {
      name: 'adds up nodes and their incarnations',
      records: [
        usage(row('n', 1, 7), row('m', 1, 1)),
        usage(row('n', 2, 2)),
        usage(row('n', 2, 3)),
      ],
      total: 11,
    },
    {
      name: 'ignores a report of an earlier incarnation',
      records: [usage(row('n', 2, 2)), usage(row('n', 1, 9))],
      total: 2,
    },
    {
      name: 'adds the counts of a closed node once',
      records: [
        usage(row('n', 1, 7)),
        close('n', 1),
        close('n', 1),
        usage(row('n', 1, 7)),
      ],
      total: 7,
    },
    {
      name: 'counts the calls of a closed node that has restarted',
      records: [usage(row('n', 1, 7)), close('n', 1), usage(row('n', 2, 1))],
      total: 8,
    },
    {
      name: 'ignores the closing of an earlier incarnation',
      records: [
        usage(row('n', 1, 7)),
        usage(row('n', 2, 1)),
        close('n', 1),
        usage(row('n', 2, 2)),
      ],
      total: 9,
    },
    {
      name: 'ignores a late report after the closed node has expired',
      records: [
        usage(row('n', 1, 7)),
        close('n', 1),
        later,
        usage(row('n', 1, 9)),
      ],
      total: 7,
    },
    {
      name: 'skips malformed records',
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

  it('removes expired closed nodes, so that its state is bounded', () => {
    const records: object[] = [];
    for (let i = 0; i < 50; i++) {
      records.push(usage(row(`n${i}`, 1, 1)), close(`n${i}`, 1));
    }
    const ledger = foldAll([...records, later]);
    expect(ledger.size).to.deep.equal({rows: 0, closed: 0});
    expect(ledger.total('c')).to.equal(50);
  });

  for (const seed of [1, 2, 3, 5, 8]) {
    it(`continues from a checkpoint with the same totals (seed ${seed})`, () => {
      const random = new SeededRandom(seed);
      const records = randomRecords(random);
      const half = random.nextInt(records.length);
      const first = foldAll(records.slice(0, half));
      const assembler = new CheckpointAssembler();
      const parts = first.checkpoint('x', 2);
      for (const part of random.sample(parts, parts.length)) {
        assembler.add(JSON.stringify(part));
        assembler.add(JSON.stringify(part));
      }
      const restored = new UsageLedger();
      restored.restore(assembler.parts);
      records.forEach((record, i) => restored.fold(i, JSON.stringify(record)));
      const whole = foldAll(records);
      expect(restored.total('c')).to.equal(whole.total('c'));
      expect(restored.size).to.deep.equal(whole.size);
    });
  }

  it('ignores an incomplete checkpoint', () => {
    const ledger = foldAll([usage(row('n', 1, 1), row('m', 1, 1))]);
    const assembler = new CheckpointAssembler();
    const [part] = ledger.checkpoint('x', 1);
    assembler.add(JSON.stringify(part));
    expect(assembler.parts).to.deep.equal([]);
  });
});

/** Reports and closings of a few nodes, some repeated or out of order. */
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
