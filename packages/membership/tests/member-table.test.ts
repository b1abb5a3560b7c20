import {expect} from 'chai';

import type {MemberRecord} from '@turmericmill/wire';

import {MemberTable, TOMBSTONE_RETENTION_MS} from '../src/member-table.js';

const NOW_MS = 1_700_000_000_000;

const RECORD: MemberRecord = {
  id: 'node-1',
  incarnation: 10,
  status: 'alive',
  address: '10.0.0.1',
  port: 7000,
  dataCentre: 'dc-1',
  region: 'region-1',
  servers: [],
  revision: 3,
};

/** A record as `[status, incarnation, revision]`, or a status without it. */
type Update = [MemberRecord['status'], number, number?];

describe('MemberTable', () => {
  const cases: {name: string; updates: Update[]; expected: Update}[] = [
    {
      name: 'a late record that it is alive',
      updates: [
        ['dead', 10],
        ['alive', 10, 3],
      ],
      expected: ['dead', 10, 3],
    },
    {
      name: 'a late record with new servers',
      updates: [
        ['dead', 10],
        ['alive', 10, 4],
      ],
      expected: ['dead', 10, 4],
    },
    {
      name: 'a late suspicion of an older start',
      updates: [
        ['alive', 50_000, 0],
        ['suspect', 10],
      ],
      expected: ['alive', 50_000, 0],
    },
    {
      name: 'a late death of an older start',
      updates: [
        ['alive', 50_000, 0],
        ['dead', 49_999],
      ],
      expected: ['alive', 50_000, 0],
    },
    {
      name: 'an older record',
      updates: [['alive', 9, 99]],
      expected: ['alive', 10, 3],
    },
    {
      name: 'an older revision',
      updates: [['alive', 10, 2]],
      expected: ['alive', 10, 3],
    },
    {
      name: 'a refutation',
      updates: [
        ['suspect', 10],
        ['alive', 11, 3],
      ],
      expected: ['alive', 11, 3],
    },
    {
      name: 'a refutation that arrives before the suspicion',
      updates: [
        ['alive', 11, 3],
        ['suspect', 10],
      ],
      expected: ['alive', 11, 3],
    },
    {
      name: 'a suspicion after a death',
      updates: [
        ['dead', 10],
        ['suspect', 10],
      ],
      expected: ['dead', 10, 3],
    },
    {
      name: 'a death after a departure',
      updates: [
        ['left', 10],
        ['dead', 10],
      ],
      expected: ['left', 10, 3],
    },
    {
      name: 'a return after a departure',
      updates: [
        ['left', 10],
        ['alive', 50_000, 0],
      ],
      expected: ['alive', 50_000, 0],
    },
    {
      name: 'a death in a newer incarnation',
      updates: [
        ['dead', 12],
        ['alive', 11, 5],
      ],
      expected: ['dead', 12, 3],
    },
  ];
  for (const {name, updates, expected} of cases) {
    it(`merges ${name}`, () => {
      const table = new MemberTable();
      table.mergeRecord(RECORD, NOW_MS);
      for (const [status, incarnation, revision] of updates) {
        if (revision === undefined) {
          table.mergeStatus(RECORD.id, incarnation, status, NOW_MS);
        } else {
          const record = {...RECORD, status, incarnation, revision};
          table.mergeRecord(record, NOW_MS);
        }
      }
      const {status, incarnation, revision} = table.get(RECORD.id)!.record;
      expect([status, incarnation, revision]).to.deep.equal(expected);
    });
  }

  it('ignores the death of an unknown member', () => {
    const table = new MemberTable();
    const dead = {...RECORD, status: 'dead' as const};
    expect(table.mergeRecord(dead, NOW_MS)).to.equal(undefined);
    expect(table.mergeStatus(RECORD.id, 10, 'dead', NOW_MS)).to.equal(
      undefined,
    );
  });

  it('removes dead members at their deadline and alive ones never', () => {
    const table = new MemberTable();
    table.mergeRecord(RECORD, NOW_MS);
    const other = {...RECORD, id: 'node-2', address: '10.0.0.2'};
    table.mergeRecord(other, NOW_MS);
    table.mergeStatus(RECORD.id, 10, 'dead', NOW_MS);
    const endMs = NOW_MS + TOMBSTONE_RETENTION_MS;
    expect(table.removeExpired(endMs - 1)).to.equal(0);
    expect(table.removeExpired(endMs)).to.equal(1);
    expect(table.get('node-2')).not.to.equal(undefined);
  });
});
