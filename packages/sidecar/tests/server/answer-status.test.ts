import {expect} from 'chai';

import {AnswerParser} from '../../src/server/answer-parser.js';

const SEAL = 'X-Turmericmill-Response-Seal: s';

/** Returns the status of each answer, and 'malformed' for what is none. */
function parse(bytes: string): (number | 'malformed')[] {
  const seen: (number | 'malformed')[] = [];
  const parser = new AnswerParser({
    answer: ({status}) => seen.push(status),
    malformed: () => seen.push('malformed'),
    buffered: () => undefined,
  });
  parser.begin(false);
  parser.push(Buffer.from(bytes, 'latin1'));
  return seen;
}

function answerWith(status: string): string {
  return `HTTP/1.1 ${status}\r\n${SEAL}\r\nContent-Length: 0\r\n\r\n`;
}

function numbers(from: number, end: number): string[] {
  return Array.from({length: end - from}, (unused, index) =>
    String(from + index).padStart(3, '0'),
  );
}

const ODD_FORMS = [
  '',
  'OK',
  '2',
  '20',
  '2000',
  '0200',
  '200x',
  '200OK',
  '-20',
  '+20',
  '2e2',
  '2.0',
  '0x2',
  '\u00b2\u00b2\u00b2',
];

describe('the status of an answer', () => {
  for (const ending of ['', ' ', ' Reason']) {
    const odd = [...numbers(0, 100), ...numbers(600, 1_000), ...ODD_FORMS];
    it(`is refused at once unless it is of HTTP, followed by '${ending}'`, () => {
      for (const status of odd) {
        const answer = answerWith(`${status}${ending}`);
        expect(parse(answer), status).to.deep.equal(['malformed']);
        const both = `${answer}${answerWith('200 OK')}`;
        expect(parse(both), status).to.deep.equal(['malformed']);
      }
    });

    it(`is taken from 200 to 599, followed by '${ending}'`, () => {
      for (const status of numbers(200, 600)) {
        const answer = answerWith(`${status}${ending}`);
        expect(parse(answer), status).to.deep.equal([Number(status)]);
      }
    });

    it(`is informational from 100 to 199, followed by '${ending}'`, () => {
      for (const status of numbers(100, 200)) {
        const both = `HTTP/1.1 ${status}${ending}\r\n\r\n${answerWith('404 x')}`;
        expect(parse(both), status).to.deep.equal([404]);
      }
    });
  }
});
