import {expect} from 'chai';

import {AnswerLineLimits} from '../src/answer-line-limits.js';

const KIB = 1024;
/** A number of bytes and the parser state; `body`: bytes of the body. */
type Step = readonly [state: string, bytes: number];

interface Case {
  steps: readonly Step[];
  /** Error that the last step throws, and no step before it. */
  error?: string;
}

function repeat(count: number, ...steps: Step[]): Step[] {
  return Array.from({length: count}, () => steps).flat();
}

const CASES: Record<string, Case> = {
  'allows a head of the maximum length': {
    steps: [
      ['RESPONSE_LINE', 20],
      ['HEADER', 64 * KIB - 20],
    ],
  },
  'adds up all lines of a head': {
    steps: [
      ['RESPONSE_LINE', 20],
      ['HEADER', 64 * KIB - 20],
      ['HEADER', 1],
    ],
    error: 'the lines of the head exceed their byte limit',
  },
  'adds up the heads of informational answers': {
    steps: repeat(2, ['RESPONSE_LINE', 16 * KIB], ['HEADER', 16 * KIB + 1]),
    error: 'the lines of the head exceed their byte limit',
  },
  'allows a chunk extension': {
    steps: [['BODY_CHUNKHEAD', KIB]],
  },
  'rejects a chunk line that is too long': {
    steps: [
      ['BODY_CHUNKHEAD', KIB],
      ['BODY_CHUNKHEAD', 1],
    ],
    error: 'the lines of the chunk exceed their byte limit',
  },
  'rejects a chunk that no line end follows': {
    steps: [
      ['body', 100],
      ['BODY_CHUNKEMPTYLINE', KIB + 1],
    ],
    error: 'the lines of the chunk exceed their byte limit',
  },
  'allows small chunks': {
    steps: repeat(10_000, ['BODY_CHUNKHEAD', 3], ['body', 1]),
  },
  'allows any number of chunks that are as long as their lines': {
    steps: repeat(100_000, ['BODY_CHUNKHEAD', 5], ['body', 5]),
  },
  'rejects too many chunks of one byte': {
    steps: [
      ...repeat(32 * KIB - 1, ['BODY_CHUNKHEAD', 3], ['body', 1]),
      ['BODY_CHUNKHEAD', 3],
    ],
    error: 'the lines of the chunk exceed their byte limit',
  },
  'rejects too many chunks with an extension': {
    steps: [
      ...repeat(64, ['BODY_CHUNKHEAD', KIB], ['body', 1]),
      ['BODY_CHUNKHEAD', KIB],
    ],
    error: 'the lines of the chunk exceed their byte limit',
  },
  'limits trailers apart from the head': {
    steps: [
      ['HEADER', 64 * KIB],
      ['body', 100 * KIB],
      ['BODY_CHUNKTRAILERS', 16 * KIB],
    ],
  },
  'rejects trailers that are too long': {
    steps: [
      ['body', 100 * KIB],
      ['BODY_CHUNKTRAILERS', 16 * KIB],
      ['BODY_CHUNKTRAILERS', 1],
    ],
    error: 'the lines of the trailers exceed their byte limit',
  },
};

describe('AnswerLineLimits', () => {
  for (const [name, {steps, error}] of Object.entries(CASES)) {
    it(name, () => {
      const limits = new AnswerLineLimits();
      const record = ([state, bytes]: Step) => {
        if (state === 'body') limits.recordBody(bytes);
        else limits.recordLine(state, bytes);
      };
      for (const step of steps.slice(0, -1)) record(step);
      const last = () => steps.slice(-1).forEach(record);
      if (error === undefined) expect(last).to.not.throw();
      else expect(last).to.throw(error);
    });
  }
});
