import {expect} from 'chai';

import {ReportedServer, type ServerReport} from '../src/index.js';

const NOW_MS = 1_000;
const REPORT: ServerReport = {
  serverId: 'i-1',
  service: 'desk',
  slots: 9,
  state: 'ready',
  remainingWarmupMs: 0,
  sequence: 1,
  bornMs: 500,
};

/** A changed heartbeat, or a departure, `laterMs` after `NOW_MS`. */
type Step = {laterMs?: number} & (
  Partial<ServerReport> | {departedId: string; bornMs?: number}
);

function applySteps(steps: Step[]) {
  const reported = new ReportedServer();
  const changes = steps.map(({laterMs = 0, ...step}) => {
    const nowMs = NOW_MS + laterMs;
    return 'departedId' in step
      ? reported.applyDeparture(step.departedId, step.bornMs, nowMs)
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
  'the first report starts the server': {
    steps: [{}],
    changes: ['started'],
    current: ['i-1', 500, 'ready'],
  },
  'a repeated or older report changes nothing': {
    steps: [{sequence: 5}, {sequence: 5}, {sequence: 4, state: 'draining'}],
    changes: ['started', 'stale', 'stale'],
    current: ['i-1', 500, 'ready'],
  },
  'a late report of a start that left before its first report is ignored': {
    steps: [{departedId: 'i-1'}, {sequence: 29, laterMs: 3_000}],
    changes: ['stale', 'stale'],
    current: [undefined, undefined, undefined],
  },
  'all reports of a start that left before its first report are ignored': {
    steps: [
      {departedId: 'i-1'},
      {sequence: 29, laterMs: 3_000},
      {sequence: 30, laterMs: 30_000},
    ],
    changes: ['stale', 'stale', 'stale'],
    current: [undefined, undefined, undefined],
  },
  'a start after an unknown departure begins with a new sequence': {
    steps: [{departedId: 'i-1'}, {bornMs: 900, laterMs: 3_000}],
    changes: ['stale', 'started'],
    current: ['i-1', 900, 'ready'],
  },
  'a report long after an unknown departure is from another start': {
    steps: [{departedId: 'i-1'}, {sequence: 3, bornMs: 900, laterMs: 30_000}],
    changes: ['stale', 'started'],
    current: ['i-1', 900, 'ready'],
  },
  'a draining server remains leaving': {
    steps: [{}, {sequence: 2, state: 'draining'}, {sequence: 3}],
    changes: ['started', 'leaving', 'updated'],
    current: ['i-1', 500, 'leaving'],
  },
  'a late heartbeat does not revive a departed start': {
    steps: [{}, {departedId: 'i-1', bornMs: 500}, {sequence: 9}],
    changes: ['started', 'leaving', 'stale'],
    current: ['i-1', 500, 'leaving'],
  },
  'a departure without a start time applies to the current start': {
    steps: [{}, {departedId: 'i-1'}],
    changes: ['started', 'leaving'],
    current: ['i-1', 500, 'leaving'],
  },
  'the departure of an earlier start does not change the current one': {
    steps: [{bornMs: 800}, {departedId: 'i-1', bornMs: 500}],
    changes: ['started', 'stale'],
    current: ['i-1', 800, 'ready'],
  },
  'a departure that arrives before the first heartbeat remains in effect': {
    steps: [{departedId: 'i-1', bornMs: 500}, {}],
    changes: ['stale', 'stale'],
    current: [undefined, undefined, undefined],
  },
  'a new start with the same id begins with a new sequence': {
    steps: [{sequence: 9}, {bornMs: 900, sequence: 1}],
    changes: ['started', 'started'],
    current: ['i-1', 900, 'ready'],
  },
  'a heartbeat of an earlier start at the same address is ignored': {
    steps: [{serverId: 'i-2', bornMs: 900}, {sequence: 50}],
    changes: ['started', 'stale'],
    current: ['i-2', 900, 'ready'],
  },
  'a start in the far future, of another writer, does not block later ones': {
    steps: [{bornMs: 1e15}, {}],
    changes: ['stale', 'started'],
    current: ['i-1', 500, 'ready'],
  },
  'a new start after a departure is accepted': {
    steps: [{}, {departedId: 'i-1'}, {serverId: 'i-2', bornMs: 900}],
    changes: ['started', 'leaving', 'started'],
    current: ['i-2', 900, 'ready'],
  },
};

describe('ReportedServer', () => {
  for (const [name, {steps, changes, current}] of Object.entries(CASES)) {
    it(name, () => {
      expect(applySteps(steps)).to.deep.equal({changes, current});
    });
  }

  describe('after a restart of the node', () => {
    const LEFT = {serverId: 'i-1', bornMs: 500};

    it('ignores a late heartbeat of a start that had left', () => {
      const reported = new ReportedServer();
      reported.restoreDeparted([LEFT]);
      expect(reported.applyReport(REPORT, NOW_MS)).to.equal('stale');
    });

    it('withdraws a server that it took before it knew', () => {
      const reported = new ReportedServer();
      reported.applyReport(REPORT, NOW_MS);
      reported.restoreDeparted([LEFT]);
      expect(reported.current?.state).to.equal('leaving');
    });

    const departures: {
      name: string;
      leave: (reported: ReportedServer) => void;
    }[] = [
      {
        name: 'a draining heartbeat',
        leave: reported => {
          const report = {...REPORT, state: 'draining', sequence: 2} as const;
          reported.applyReport(report, NOW_MS);
        },
      },
      {
        name: 'a departure',
        leave: reported => {
          reported.applyDeparture('i-1', 500, NOW_MS);
        },
      },
    ];
    for (const {name, leave} of departures) {
      it(`names the starts that have left to be stored: ${name}`, () => {
        const reported = new ReportedServer();
        reported.applyReport(REPORT, NOW_MS);
        leave(reported);
        expect(reported.departures).to.equal(1);
        expect(reported.departedStarts).to.deep.equal([LEFT]);
      });
    }

    it('counts no departure that was known before', () => {
      const reported = new ReportedServer();
      reported.restoreDeparted([LEFT]);
      reported.applyDeparture('i-1', 500, NOW_MS);
      expect(reported.departures).to.equal(0);
      expect(reported.departedStarts).to.deep.equal([LEFT]);
    });
  });

  it('returns the end of the warm-up of a server', () => {
    const reported = new ReportedServer();
    reported.applyReport({...REPORT, remainingWarmupMs: 250}, NOW_MS);
    expect(reported.current?.warmUntilMs).to.equal(NOW_MS + 250);
  });

  const WARMUPS: Record<string, {remainingMs: number[]; changes: number}> = {
    'of a warm server': {remainingMs: [0, 0, 0], changes: 1},
    'that goes on as expected': {remainingMs: [3_000, 1_510, 0], changes: 1},
    'that is over earlier': {remainingMs: [3_000, 0, 0], changes: 2},
    'that takes longer': {remainingMs: [1_500, 1_500, 0], changes: 2},
  };
  for (const [name, {remainingMs, changes}] of Object.entries(WARMUPS)) {
    it(`changes the end of a warm-up only if it has moved: one ${name}`, () => {
      const reported = new ReportedServer();
      const ends = remainingMs.map((ms, index) => {
        const report = {...REPORT, remainingWarmupMs: ms, sequence: index + 1};
        reported.applyReport(report, NOW_MS + index * 1_500);
        return reported.current?.warmUntilMs;
      });
      expect(new Set(ends).size).to.equal(changes);
    });
  }
});
