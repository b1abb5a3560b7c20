import {expect} from 'chai';

import {AnswerLines} from '../../src/server/answer-lines.js';

const KIB = 1024;
/** Bytes by state of the parser; those of a `body` are no line. */
type Step = readonly [state: string, bytes: number];

interface Case {
  steps: readonly Step[];
  /** What is too long after the last step; not before. */
  error?: string;
}

function repeat(count: number, ...steps: Step[]): Step[] {
  return Array.from({length: count}, () => steps).flat();
}

const CASES: Record<string, Case> = {
  'a head may be long': {
    steps: [
      ['RESPONSE_LINE', 20],
      ['HEADER', 64 * KIB - 20],
    ],
  },
  'all lines of a head count together': {
    steps: [
      ['RESPONSE_LINE', 20],
      ['HEADER', 64 * KIB - 20],
      ['HEADER', 1],
    ],
    error: 'head too long',
  },
  'informational answers count together': {
    steps: repeat(2, ['RESPONSE_LINE', 16 * KIB], ['HEADER', 16 * KIB + 1]),
    error: 'head too long',
  },
  'a chunk may have an extension': {
    steps: [['BODY_CHUNKHEAD', KIB]],
  },
  'a line of a chunk that goes on': {
    steps: [
      ['BODY_CHUNKHEAD', KIB],
      ['BODY_CHUNKHEAD', 1],
    ],
    error: 'chunk too long',
  },
  'no line end behind a chunk': {
    steps: [
      ['body', 100],
      ['BODY_CHUNKEMPTYLINE', KIB + 1],
    ],
    error: 'chunk too long',
  },
  'chunks may be small': {
    steps: repeat(10_000, ['BODY_CHUNKHEAD', 3], ['body', 1]),
  },
  'chunks that are as long as their lines': {
    steps: repeat(100_000, ['BODY_CHUNKHEAD', 5], ['body', 5]),
  },
  'ever more chunks of one byte': {
    steps: [
      ...repeat(32 * KIB - 1, ['BODY_CHUNKHEAD', 3], ['body', 1]),
      ['BODY_CHUNKHEAD', 3],
    ],
    error: 'chunk too long',
  },
  'ever more chunks with an extension': {
    steps: [
      ...repeat(64, ['BODY_CHUNKHEAD', KIB], ['body', 1]),
      ['BODY_CHUNKHEAD', KIB],
    ],
    error: 'chunk too long',
  },
  'trailers are bounded apart from the head': {
    steps: [
      ['HEADER', 64 * KIB],
      ['body', 100 * KIB],
      ['BODY_CHUNKTRAILERS', 16 * KIB],
    ],
  },
  'ever more trailers': {
    steps: [
      ['body', 100 * KIB],
      ['BODY_CHUNKTRAILERS', 16 * KIB],
      ['BODY_CHUNKTRAILERS', 1],
    ],
    error: 'trailers too long',
  },
};

describe('AnswerLines', () => {
  for (const [name, {steps, error}] of Object.entries(CASES)) {
    it(name, () => {
      const lines = new AnswerLines();
      const note = ([state, bytes]: Step) => {
        if (state === 'body') lines.noteBody(bytes);
        else lines.note(state, bytes);
      };
      for (const step of steps.slice(0, -1)) note(step);
      const last = () => steps.slice(-1).forEach(note);
      if (error === undefined) expect(last).to.not.throw();
      else expect(last).to.throw(error);
    });
  }
});
