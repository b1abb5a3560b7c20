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

/** Word as `status incarnation revision`; without revision a status alone. */
type Word = [MemberRecord['status'], number, number?];

describe('MemberTable', () => {
  const cases: {name: string; words: Word[]; want: Word}[] = [
    {
      name: 'late word that it is alive',
      words: [
        ['dead', 10],
        ['alive', 10, 3],
      ],
      want: ['dead', 10, 3],
    },
    {
      name: 'late word of new servers',
      words: [
        ['dead', 10],
        ['alive', 10, 4],
      ],
      want: ['dead', 10, 4],
    },
    {
      name: 'late suspicion of an older start',
      words: [
        ['alive', 50_000, 0],
        ['suspect', 10],
      ],
      want: ['alive', 50_000, 0],
    },
    {
      name: 'late death of an older start',
      words: [
        ['alive', 50_000, 0],
        ['dead', 49_999],
      ],
      want: ['alive', 50_000, 0],
    },
    {
      name: 'an older record',
      words: [['alive', 9, 99]],
      want: ['alive', 10, 3],
    },
    {
      name: 'an older revision',
      words: [['alive', 10, 2]],
      want: ['alive', 10, 3],
    },
    {
      name: 'a refutation',
      words: [
        ['suspect', 10],
        ['alive', 11, 3],
      ],
      want: ['alive', 11, 3],
    },
    {
      name: 'a refutation before the suspicion',
      words: [
        ['alive', 11, 3],
        ['suspect', 10],
      ],
      want: ['alive', 11, 3],
    },
    {
      name: 'a suspicion after death',
      words: [
        ['dead', 10],
        ['suspect', 10],
      ],
      want: ['dead', 10, 3],
    },
    {
      name: 'death after it left',
      words: [
        ['left', 10],
        ['dead', 10],
      ],
      want: ['left', 10, 3],
    },
    {
      name: 'a return after it left',
      words: [
        ['left', 10],
        ['alive', 50_000, 0],
      ],
      want: ['alive', 50_000, 0],
    },
    {
      name: 'death in a newer incarnation',
      words: [
        ['dead', 12],
        ['alive', 11, 5],
      ],
      want: ['dead', 12, 3],
    },
  ];
  for (const {name, words, want} of cases) {
    it(`settles ${name}`, () => {
      const table = new MemberTable();
      table.mergeRecord(RECORD, NOW_MS);
      for (const [status, incarnation, revision] of words) {
        if (revision === undefined) {
          table.mergeStatus(RECORD.id, incarnation, status, NOW_MS);
        } else {
          const record = {...RECORD, status, incarnation, revision};
          table.mergeRecord(record, NOW_MS);
        }
      }
      const {status, incarnation, revision} = table.get(RECORD.id)!.record;
      expect([status, incarnation, revision]).to.deep.equal(want);
    });
  }

  it('takes no word of the death of a member that it does not know', () => {
    const table = new MemberTable();
    const dead = {...RECORD, status: 'dead' as const};
    expect(table.mergeRecord(dead, NOW_MS)).to.equal(undefined);
    expect(table.mergeStatus(RECORD.id, 10, 'dead', NOW_MS)).to.equal(
      undefined,
    );
  });

  it('forgets a dead member at its deadline, an alive one never', () => {
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
