import {expect} from 'chai';

import {checkAnswer} from '../../src/server/answer-check.js';

const PROOF = ['X-Turmericmill-Response-Seal', 's'];
const NOT_RUN = ['X-Turmericmill-Not-Executed', '1'];

const CASES: Record<
  string,
  {status: number; headers: string[]; verdict: string}
> = {
  'a proven success': {status: 200, headers: PROOF, verdict: 'complete'},
  'a success without proof': {status: 200, headers: [], verdict: 'unproven'},
  'a success with an empty proof': {
    status: 200,
    headers: ['X-Turmericmill-Response-Seal', ''],
    verdict: 'unproven',
  },
  'an encoded success': {
    status: 200,
    headers: [...PROOF, 'Content-Encoding', 'gzip'],
    verdict: 'unproven',
  },
  'a failure of the server': {status: 500, headers: [], verdict: 'complete'},
  'a timeout of the server': {status: 504, headers: [], verdict: 'complete'},
  'a refusal': {status: 503, headers: NOT_RUN, verdict: 'not-run'},
  'another server': {status: 421, headers: [], verdict: 'wrong-server'},
  'a 503 that claims nothing': {
    status: 503,
    headers: [],
    verdict: 'unproven',
  },
  'a 429 that claims nothing': {
    status: 429,
    headers: PROOF,
    verdict: 'unproven',
  },
  'a 408 that claims nothing': {
    status: 408,
    headers: [],
    verdict: 'unproven',
  },
};

describe('checkAnswer', () => {
  for (const [name, {status, headers, verdict}] of Object.entries(CASES)) {
    it(`takes ${name} as ${verdict}`, () => {
      const answer = {status, headers, body: [], keepAlive: true};
      expect(checkAnswer(answer)).to.equal(verdict);
    });
  }
});
