import {expect} from 'chai';

import {lateStep, type LateStep} from '../../src/ingress/late-answer.js';

const DEADLINE_MS = 10_000;

/** Times in ms after the deadline. */
interface Case {
  lastFrame?: number;
  now: number;
  step: 'stream' | 'give-up' | {waitUntil: number};
}

const CASES: Record<string, Case> = {
  'before the deadline, nothing has come': {
    now: -700,
    step: {waitUntil: 60},
  },
  'before the deadline, an answer has begun': {
    now: -700,
    lastFrame: -700,
    step: {waitUntil: 60},
  },
  'no answer at the deadline: it may have been on its way': {
    now: 59,
    step: {waitUntil: 60},
  },
  'no answer after the grace': {now: 60, step: 'give-up'},
  'an answer that grows is held a while': {
    now: 60,
    lastFrame: 40,
    step: {waitUntil: 200},
  },
  'an answer that has begun late is held a while': {
    now: 199,
    lastFrame: 60,
    step: {waitUntil: 200},
  },
  'an answer that grows on is streamed': {
    now: 200,
    lastFrame: 150,
    step: 'stream',
  },
  'a starved node looks late': {now: 900, lastFrame: 880, step: 'stream'},
  'an answer that has stopped before the deadline': {
    now: 60,
    lastFrame: -340,
    step: 'give-up',
  },
  'an answer that has stopped while it was held': {
    now: 200,
    lastFrame: -200,
    step: 'give-up',
  },
};

describe('lateStep', () => {
  for (const [name, {lastFrame, now, step}] of Object.entries(CASES)) {
    it(name, () => {
      const lastFrameMs =
        lastFrame === undefined ? undefined : DEADLINE_MS + lastFrame;
      const answer = {deadlineMs: DEADLINE_MS, lastFrameMs};
      const expected: LateStep =
        typeof step === 'string'
          ? {kind: step}
          : {kind: 'wait', untilMs: DEADLINE_MS + step.waitUntil};
      expect(lateStep(answer, DEADLINE_MS + now)).to.deep.equal(expected);
    });
  }
});
