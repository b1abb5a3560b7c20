import {expect} from 'chai';

import {
  lateAnswerStep,
  type LateAnswerStep,
} from '../../src/ingress/late-answer.js';

const DEADLINE_MS = 10_000;

/** Times in ms after the deadline. */
interface Case {
  lastFrame?: number;
  now: number;
  step: 'stream' | 'cancel' | {waitUntil: number};
}

const CASES: Record<string, Case> = {
  'waits before the deadline when nothing has arrived': {
    now: -700,
    step: {waitUntil: 60},
  },
  'waits before the deadline when an answer has begun': {
    now: -700,
    lastFrame: -700,
    step: {waitUntil: 60},
  },
  'waits for an answer that may have been in transit at the deadline': {
    now: 59,
    step: {waitUntil: 60},
  },
  'cancels without an answer after the grace period': {now: 60, step: 'cancel'},
  'buffers a growing answer for a while': {
    now: 60,
    lastFrame: 40,
    step: {waitUntil: 200},
  },
  'buffers an answer that began late for a while': {
    now: 199,
    lastFrame: 60,
    step: {waitUntil: 200},
  },
  'streams an answer that keeps growing': {
    now: 200,
    lastFrame: 150,
    step: 'stream',
  },
  'streams a growing answer when the check itself is late': {
    now: 900,
    lastFrame: 880,
    step: 'stream',
  },
  'cancels an answer that stalled before the deadline': {
    now: 60,
    lastFrame: -340,
    step: 'cancel',
  },
  'cancels an answer that stalled while it was buffered': {
    now: 200,
    lastFrame: -200,
    step: 'cancel',
  },
};

describe('lateAnswerStep', () => {
  for (const [name, {lastFrame, now, step}] of Object.entries(CASES)) {
    it(name, () => {
      const lastFrameMs =
        lastFrame === undefined ? undefined : DEADLINE_MS + lastFrame;
      const answer = {deadlineMs: DEADLINE_MS, lastFrameMs};
      const expected: LateAnswerStep =
        typeof step === 'string'
          ? {kind: step}
          : {kind: 'wait', untilMs: DEADLINE_MS + step.waitUntil};
      expect(lateAnswerStep(answer, DEADLINE_MS + now)).to.deep.equal(expected);
    });
  }
});
