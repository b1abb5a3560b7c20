import {expect} from 'chai';

import {RestartGuard, type ServerStart} from '../src/index.js';

const STARTED_MS = 1_000;
/** Time in ms after the start up to which a heartbeat may be a late one. */
const LATE_MS = 10_000;
const SERVER: ServerStart = {serverId: 'i-1', bornMs: 500};
const RESTARTED: ServerStart = {serverId: 'i-1', bornMs: 900};
const OTHER: ServerStart = {serverId: 'i-2', bornMs: 500};

/** What a node hears of a start, `afterMs` after its own start. */
type Step =
  | {heard: 'report'; of: ServerStart; afterMs: number}
  | {heard: 'healthy'; of: ServerStart};

interface Case {
  isFirstStart?: boolean;
  steps: Step[];
  /** Of `SERVER`, after the steps. */
  isCleared: boolean;
}

const CASES: Record<string, Case> = {
  'no report: unknown': {steps: [], isCleared: false},
  'a late heartbeat does not clear a server that may have left': {
    steps: [{heard: 'report', of: SERVER, afterMs: 1_000}],
    isCleared: false,
  },
  'several late heartbeats do not either': {
    steps: [0, 1_500, 3_000, LATE_MS - 1].map(afterMs => ({
      heard: 'report',
      of: SERVER,
      afterMs,
    })),
    isCleared: false,
  },
  'a heartbeat too long after the restart to be from before clears': {
    steps: [{heard: 'report', of: SERVER, afterMs: LATE_MS}],
    isCleared: true,
  },
  'the own word of the server clears': {
    steps: [
      {heard: 'report', of: SERVER, afterMs: 0},
      {heard: 'healthy', of: SERVER},
    ],
    isCleared: true,
  },
  'the word of a later start with the same id is not that of this one': {
    steps: [{heard: 'healthy', of: RESTARTED}],
    isCleared: false,
  },
  'the word of another server is not that of this one': {
    steps: [{heard: 'healthy', of: OTHER}],
    isCleared: false,
  },
  'nothing was acknowledged before the first start': {
    isFirstStart: true,
    steps: [],
    isCleared: true,
  },
};

describe('RestartGuard', () => {
  for (const [name, {isFirstStart = false, steps, isCleared}] of Object.entries(
    CASES,
  )) {
    it(name, () => {
      const guard = new RestartGuard(STARTED_MS, isFirstStart);
      for (const step of steps) {
        if (step.heard === 'healthy') guard.recordHealthy(step.of);
        else guard.recordReport(step.of, STARTED_MS + step.afterMs);
      }
      expect(guard.isCleared(SERVER)).to.equal(isCleared);
    });
  }
});
