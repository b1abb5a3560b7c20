import {expect} from 'chai';

import {CrashLedger} from '../../src/quarantine/crash-ledger.js';
import {fingerprint} from '../../src/quarantine/fingerprint.js';

const HOUR_MS = 3_600_000;

type Step =
  | {
      crash: string;
      running: string[];
      isLocal?: boolean;
      quarantined?: string[];
    }
  | {answered: string};

const cases: {name: string; steps: Step[]; statuses: Record<string, string>}[] =
  [
    {
      name: 'suspects all requests that ran at a first crash',
      steps: [{crash: 's1', running: ['bad', 'good']}],
      statuses: {bad: 'suspect', good: 'suspect', other: 'clear'},
    },
    {
      name: 'quarantines the only common request of two crashes',
      steps: [
        {crash: 's1', running: ['bad', 'good']},
        {crash: 's2', running: ['bad', 'other'], quarantined: ['bad']},
      ],
      statuses: {bad: 'quarantined', good: 'suspect', other: 'suspect'},
    },
    {
      name: 'counts a crash once, even if it is reported twice',
      steps: [
        {crash: 's1', running: ['bad']},
        {crash: 's1', running: ['bad']},
      ],
      statuses: {bad: 'suspect'},
    },
    {
      name: 'clears a suspect that was answered elsewhere',
      steps: [
        {crash: 's1', running: ['bad', 'good']},
        {answered: 'good'},
        {crash: 's2', running: ['bad', 'good'], quarantined: ['bad']},
      ],
      statuses: {bad: 'quarantined', good: 'suspect'},
    },
    {
      name: 'quarantines no request while several are common to the crashes',
      steps: [
        {crash: 's1', running: ['bad', 'good', 'fine']},
        {crash: 's2', running: ['bad', 'good', 'fine']},
        {answered: 'good'},
        {answered: 'fine'},
        {crash: 's3', running: ['bad', 'new'], quarantined: ['bad']},
      ],
      statuses: {bad: 'quarantined', good: 'clear', fine: 'clear'},
    },
    {
      name: 'leaves the quarantine to nodes whose own server crashed',
      steps: [
        {crash: 's1', running: ['bad'], isLocal: false},
        {crash: 's2', running: ['bad'], isLocal: false},
      ],
      statuses: {bad: 'suspect'},
    },
    {
      name: 'quarantines when the second report comes from another node',
      steps: [
        {crash: 's1', running: ['bad']},
        {crash: 's2', running: ['bad'], isLocal: false, quarantined: ['bad']},
      ],
      statuses: {bad: 'quarantined'},
    },
  ];

describe('CrashLedger', () => {
  for (const {name, steps, statuses} of cases) {
    it(name, () => {
      const ledger = new CrashLedger();
      for (const step of steps) {
        if ('answered' in step) {
          expect(ledger.clearSuspect(step.answered)).to.equal(true);
          continue;
        }
        const report = {
          server: step.crash,
          fingerprints: step.running,
          atMs: 0,
        };
        const quarantines =
          step.isLocal === false
            ? ledger.recordReportedCrash(report, 0)
            : ledger.recordLocalCrash(report, 0);
        expect(quarantines.map(q => q.fingerprint)).to.deep.equal(
          step.quarantined ?? [],
        );
      }
      for (const [id, expected] of Object.entries(statuses)) {
        expect(ledger.statusOf(id, 1)).to.equal(expected);
      }
    });
  }

  it('ends a quarantine at its deadline', () => {
    const ledger = new CrashLedger();
    ledger.acceptQuarantine({fingerprint: 'bad', untilMs: 500}, 0);
    expect(ledger.statusOf('bad', 499)).to.equal('quarantined');
    expect(ledger.statusOf('bad', 500)).to.equal('clear');
    expect(ledger.activeQuarantines(500)).to.deep.equal([]);
  });

  it('limits an accepted quarantine that has no end', () => {
    const ledger = new CrashLedger();
    ledger.acceptQuarantine({fingerprint: 'bad', untilMs: Infinity}, 0);
    expect(ledger.statusOf('bad', HOUR_MS)).to.equal('clear');
  });

  it('clears a suspect after the suspicion time', () => {
    const ledger = new CrashLedger();
    ledger.recordLocalCrash({server: 's1', fingerprints: ['a'], atMs: 0}, 0);
    expect(ledger.statusOf('a', HOUR_MS)).to.equal('clear');
  });

  it('gives a request the same fingerprint each time', () => {
    const bodyStart = Buffer.from('x');
    const parts = {method: 'PUT', path: '/a', customer: 'c', bodyStart};
    expect(fingerprint(parts)).to.equal(fingerprint({...parts}));
    const others = [
      {...parts, method: 'POST'},
      {...parts, path: '/b'},
      {...parts, customer: 'd'},
      {...parts, bodyStart: Buffer.from('y')},
    ];
    const all = [parts, ...others].map(fingerprint);
    expect(new Set(all).size).to.equal(all.length);
  });
});
