import {expect} from 'chai';

import {
  AnswerParser,
  type ServerAnswer,
} from '../../src/server/answer-parser.js';

const ID = 'X-Turmericmill-Request-Id';
const SEAL = 'X-Turmericmill-Response-Seal';

/** Heads of earlier answers, of which only a part is sent again. */
const EARLIER: Record<string, string> = {
  'a refusal': `HTTP/1.1 503 Service Unavailable\r\nX-Turmericmill-Not-Executed: 1\r\n${ID}: q-1\r\nContent-Length: 0\r\n\r\n`,
  'a refusal without a reason': `HTTP/1.1 503 \r\nX-Turmericmill-Not-Executed: 1\r\n\r\n`,
  'a success': `HTTP/1.1 200 OK\r\n${SEAL}: s-1\r\n${ID}: q-1\r\nContent-Length: 3\r\n\r\n`,
  'a success in chunks': `HTTP/1.1 200 OK\r\n${ID}: q-1\r\n${SEAL}: s-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n`,
  'an informational answer': `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n`,
};

/** The whole answers to the running request. */
const CURRENT: Record<string, string> = {
  'a success': `HTTP/1.1 200 OK\r\n${ID}: q-2\r\n${SEAL}: s-2\r\nContent-Length: 3\r\n\r\ntwo`,
  'a failure': `HTTP/1.1 500 Internal Server Error\r\n${ID}: q-2\r\n${SEAL}: s-2\r\nContent-Length: 3\r\n\r\nbad`,
};

type Seen = Pick<ServerAnswer, 'status' | 'headers'> & {body: string};

/** Answers that name the running request. */
function currentAnswers(pieces: readonly string[]): Seen[] {
  const seen: Seen[] = [];
  const parser = new AnswerParser({
    answer: ({status, headers, body}) => {
      if (!headers.includes('q-2')) return;
      seen.push({status, headers, body: Buffer.concat(body).toString()});
    },
    malformed: () => undefined,
    buffered: () => undefined,
  });
  parser.begin(false);
  for (const piece of pieces) parser.push(Buffer.from(piece, 'latin1'));
  return seen;
}

const FRAMINGS: Record<string, string> = {
  'the same length twice': 'Content-Length: 3\r\nContent-Length: 3\r\n',
  'two lengths': 'Content-Length: 3\r\nContent-Length: 4\r\n',
  'a length and chunks': 'Transfer-Encoding: chunked\r\nContent-Length: 3\r\n',
  'two codings': 'Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n',
  'a folded line': 'X-A: 1\r\n 2\r\nContent-Length: 3\r\n',
  'a line without a colon': 'X-A\r\nContent-Length: 3\r\n',
  'a space before the colon': 'X-A : 1\r\nContent-Length: 3\r\n',
};

// An unsafe request ran at two servers, and a failure reached its caller as a
// success, when a part of an earlier answer was joined with the next one.
describe('an answer after a part of an earlier one', () => {
  for (const [earlier, head] of Object.entries(EARLIER)) {
    for (const [current, answer] of Object.entries(CURRENT)) {
      it(`is itself or none: ${earlier}, then ${current}`, () => {
        const [whole] = currentAnswers([answer]);
        for (let end = 1; end <= head.length; end += 1) {
          const start = head.slice(0, end);
          for (const pieces of [[start + answer], [start, answer]]) {
            for (const seen of currentAnswers(pieces)) {
              expect(seen, `after ${end} bytes`).to.deep.equal(whole);
            }
          }
        }
      });
    }
  }

  for (const [name, lines] of Object.entries(FRAMINGS)) {
    it(`is refused with ${name}`, () => {
      const head = `HTTP/1.1 200 OK\r\n${ID}: q-2\r\n${lines}\r\n`;
      expect(currentAnswers([`${head}abc`])).to.deep.equal([]);
    });
  }
});
