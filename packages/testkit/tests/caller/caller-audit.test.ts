import {expect} from 'chai';

import {
  auditCalls,
  type AuditCounts,
  type CallRecord,
} from '../../src/index.js';

const CALL: CallRecord = {
  requestId: 'r1',
  method: 'POST',
  path: '/',
  once: true,
  idempotencyKey: '',
  verdict: 'answered',
  status: 200,
  reason: '',
  servedBy: 's',
  latencyMs: 1,
};

interface Case {
  name: string;
  calls: Partial<CallRecord>[];
  runs: Record<string, number>;
  faults: Partial<AuditCounts>;
}

describe('auditCalls', () => {
  const cases: Case[] = [
    {name: 'one run of a request', calls: [{}], runs: {r1: 1}, faults: {}},
    {
      name: 'two runs of an at-most-once request',
      calls: [{}],
      runs: {r1: 2},
      faults: {repeated: 1},
    },
    {
      name: 'two runs of a repeatable request',
      calls: [{once: false}],
      runs: {r1: 2},
      faults: {},
    },
    {
      name: 'a refused request that has not run',
      calls: [{verdict: 'not-run'}],
      runs: {},
      faults: {},
    },
    {
      name: 'a refused request that has run',
      calls: [{verdict: 'not-run'}],
      runs: {r1: 1},
      faults: {falselyNotRun: 1},
    },
    {
      name: 'an answer without a run',
      calls: [{}],
      runs: {},
      faults: {answeredWithoutRun: 1},
    },
    {
      name: 'the replayed answer of an earlier attempt',
      calls: [{idempotencyKey: 'k'}, {idempotencyKey: 'k', requestId: 'r2'}],
      runs: {r1: 1},
      faults: {},
    },
    {
      name: 'two attempts with one key that both ran',
      calls: [{idempotencyKey: 'k'}, {idempotencyKey: 'k', requestId: 'r2'}],
      runs: {r1: 1, r2: 1},
      faults: {repeated: 1},
    },
    {
      name: 'an answer that belongs to another request',
      calls: [{verdict: 'mismatched'}],
      runs: {r1: 1},
      faults: {mismatched: 1},
    },
  ];
  for (const {name, calls, runs, faults} of cases) {
    it(`counts ${name}`, () => {
      const records = calls.map(call => ({...CALL, ...call}));
      const counts = auditCalls(records, new Map(Object.entries(runs)));
      const {calls: all, answered, notRun, unknown, ...found} = counts;
      expect(answered + notRun + unknown + found.mismatched).to.equal(all);
      const none = {
        mismatched: 0,
        repeated: 0,
        falselyNotRun: 0,
        answeredWithoutRun: 0,
      };
      expect(found).to.deep.equal({...none, ...faults});
    });
  }
});
