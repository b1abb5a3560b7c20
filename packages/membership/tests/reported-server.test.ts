import {expect} from 'chai';

import {ReportedServer, type ServerReport} from '../src/index.js';

const NOW_MS = 1_000;
const REPORT: ServerReport = {
  serverId: 'i-1',
  service: 'desk',
  slots: 9,
  state: 'ready',
  warmupMs: 0,
  sequence: 1,
  bornMs: 500,
};

/** A heartbeat with changes, or the departure of a start, some time later. */
type Step = {laterMs?: number} & (
  Partial<ServerReport> | {departs: string; bornMs?: number}
);

function play(steps: Step[]) {
  const reported = new ReportedServer();
  const changes = steps.map(({laterMs = 0, ...step}) => {
    const nowMs = NOW_MS + laterMs;
    return 'departs' in step
      ? reported.applyDeparture(step.departs, step.bornMs, nowMs)
      : reported.applyReport({...REPORT, ...step}, nowMs);
  });
  const {serverId, state, bornMs} = reported.current ?? {};
  return {changes, current: [serverId, bornMs, state]};
}

interface Case {
  steps: Step[];
  changes: string[];
  current: (string | number | undefined)[];
}

const CASES: Record<string, Case> = {
  'a first report starts it': {
    steps: [{}],
    changes: ['started'],
    current: ['i-1', 500, 'ready'],
  },
  'a repeated or older report changes nothing': {
    steps: [{sequence: 5}, {sequence: 5}, {sequence: 4, state: 'draining'}],
    changes: ['started', 'stale', 'stale'],
    current: ['i-1', 500, 'ready'],
  },
  'a late report of a start that left before it was known starts nothing': {
    steps: [{departs: 'i-1'}, {sequence: 29, laterMs: 3_000}],
    changes: ['stale', 'stale'],
    current: [undefined, undefined, undefined],
  },
  'reports of a start that left before it was known stay without effect': {
    steps: [
      {departs: 'i-1'},
      {sequence: 29, laterMs: 3_000},
      {sequence: 30, laterMs: 30_000},
    ],
    changes: ['stale', 'stale', 'stale'],
    current: [undefined, undefined, undefined],
  },
  'a later start under the same id counts its reports anew': {
    steps: [{departs: 'i-1'}, {bornMs: 900, laterMs: 3_000}],
    changes: ['stale', 'started'],
    current: ['i-1', 900, 'ready'],
  },
  'a start that reports long after an unknown one has left is another': {
    steps: [{departs: 'i-1'}, {sequence: 3, bornMs: 900, laterMs: 30_000}],
    changes: ['stale', 'started'],
    current: ['i-1', 900, 'ready'],
  },
  'a server that drains stays so': {
    steps: [{}, {sequence: 2, state: 'draining'}, {sequence: 3}],
    changes: ['started', 'leaving', 'updated'],
    current: ['i-1', 500, 'leaving'],
  },
  'a late heartbeat does not bring back a departed start': {
    steps: [{}, {departs: 'i-1', bornMs: 500}, {sequence: 9}],
    changes: ['started', 'leaving', 'stale'],
    current: ['i-1', 500, 'leaving'],
  },
  'a departure without a start means the current one': {
    steps: [{}, {departs: 'i-1'}],
    changes: ['started', 'leaving'],
    current: ['i-1', 500, 'leaving'],
  },
  'the departure of an earlier start leaves the current one': {
    steps: [{bornMs: 800}, {departs: 'i-1', bornMs: 500}],
    changes: ['started', 'stale'],
    current: ['i-1', 800, 'ready'],
  },
  'a departure that overtakes the first heartbeat holds': {
    steps: [{departs: 'i-1', bornMs: 500}, {}],
    changes: ['stale', 'stale'],
    current: [undefined, undefined, undefined],
  },
  'a new start under the same id counts anew': {
    steps: [{sequence: 9}, {bornMs: 900, sequence: 1}],
    changes: ['started', 'started'],
    current: ['i-1', 900, 'ready'],
  },
  'a heartbeat of an earlier start at the address is ignored': {
    steps: [{serverId: 'i-2', bornMs: 900}, {sequence: 50}],
    changes: ['started', 'stale'],
    current: ['i-2', 900, 'ready'],
  },
  'a new start after a departure is taken': {
    steps: [{}, {departs: 'i-1'}, {serverId: 'i-2', bornMs: 900}],
    changes: ['started', 'leaving', 'started'],
    current: ['i-2', 900, 'ready'],
  },
};

describe('ReportedServer', () => {
  for (const [name, {steps, changes, current}] of Object.entries(CASES)) {
    it(name, () => {
      expect(play(steps)).to.deep.equal({changes, current});
    });
  }

  it('tells until when a started server is slow', () => {
    const reported = new ReportedServer();
    reported.applyReport({...REPORT, warmupMs: 250}, NOW_MS);
    expect(reported.current?.warmUntilMs).to.equal(NOW_MS + 250);
  });
});
