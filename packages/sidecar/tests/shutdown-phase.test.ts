import {expect} from 'chai';

import {
  nextPhase,
  shutdownTimes,
  type ShutdownPhase,
} from '../src/shutdown-phase.js';

const TERM_MS = 100_000;

interface Case {
  name: string;
  phase: ShutdownPhase;
  /** Times in ms after SIGTERM. */
  atMs: number;
  busy: boolean;
  lastBusyMs: number;
  next: ShutdownPhase;
}

const CASES: readonly Case[] = [
  {
    name: 'an idle node keeps serving until callers use other nodes',
    phase: 'serving',
    atMs: 2_499,
    busy: false,
    lastBusyMs: 0,
    next: 'serving',
  },
  {
    name: 'a busy node then stops accepting connections',
    phase: 'serving',
    atMs: 2_500,
    busy: true,
    lastBusyMs: 2_500,
    next: 'finishing',
  },
  {
    name: 'a short idle time ends no phase',
    phase: 'finishing',
    atMs: 3_300,
    busy: false,
    lastBusyMs: 2_900,
    next: 'finishing',
  },
  {
    name: 'a node that has always been idle waits as well',
    phase: 'finishing',
    atMs: 2_520,
    busy: false,
    lastBusyMs: 0,
    next: 'finishing',
  },
  {
    name: 'a node that stays idle refuses all work',
    phase: 'finishing',
    atMs: 3_400,
    busy: false,
    lastBusyMs: 2_900,
    next: 'refusing',
  },
  {
    name: 'a node waits for running work',
    phase: 'finishing',
    atMs: 5_299,
    busy: true,
    lastBusyMs: 5_299,
    next: 'finishing',
  },
  {
    name: 'a busy node refuses new work 700 ms before the grace period ends',
    phase: 'finishing',
    atMs: 5_300,
    busy: true,
    lastBusyMs: 5_300,
    next: 'refusing',
  },
  {
    name: 'a node waits for answers that are being sent',
    phase: 'refusing',
    atMs: 5_599,
    busy: true,
    lastBusyMs: 5_599,
    next: 'refusing',
  },
  {
    name: 'waiting for answers ends 400 ms before the grace period does',
    phase: 'refusing',
    atMs: 5_600,
    busy: true,
    lastBusyMs: 5_600,
    next: 'over',
  },
  {
    name: 'the shutdown is over once every answer has been sent',
    phase: 'refusing',
    atMs: 3_500,
    busy: false,
    lastBusyMs: 2_900,
    next: 'over',
  },
];

describe('nextPhase', () => {
  const times = shutdownTimes(TERM_MS, 6_000);

  for (const {name, phase, atMs, busy, lastBusyMs, next} of CASES) {
    it(name, () => {
      const activity = {busy, lastBusyMs: TERM_MS + lastBusyMs};
      const now = TERM_MS + atMs;
      expect(nextPhase(phase, times, activity, now)).to.equal(next);
    });
  }
});

describe('shutdownTimes', () => {
  for (const graceMs of [0, 300, 1_000, 6_000]) {
    it(`are in order and within a grace period of ${graceMs} ms`, () => {
      const {servingEndMs, workEndMs, answerEndMs, exitMs} = shutdownTimes(
        TERM_MS,
        graceMs,
      );
      const order = [TERM_MS, servingEndMs, workEndMs, answerEndMs, exitMs];
      const sorted = [...order].sort((a, b) => a - b);
      expect(order).to.deep.equal(sorted);
      expect(exitMs).to.be.at.most(TERM_MS + graceMs);
    });
  }
});
