import {expect} from 'chai';

import {
  AnswerParser,
  type ServerAnswer,
} from '../../src/server/answer-parser.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nX-Turmericmill-Request-Id: q-1\r\nX-Turmericmill-Response-Seal: s\r\n';
const SHAPES: Record<string, string> = {
  'with a length': `${HEAD}Content-Length: 5\r\n\r\n`,
  'in chunks': `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
  'of an empty body': `${HEAD}Content-Length: 0\r\n\r\n`,
  'that ends with the connection': `${HEAD}Connection: close\r\n\r\n`,
  'after an informational one': `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${HEAD}Connection: close\r\n\r\n`,
  'of lines that end with LF only':
    `${HEAD}Content-Length: 0\r\n\r\n`.replaceAll('\r', ''),
};

/** Parses the bytes in the given pieces; the server then closes its side. */
function parse(pieces: readonly string[]) {
  const answers: ServerAnswer[] = [];
  const parser = new AnswerParser({
    answer: answer => answers.push(answer),
    malformed: () => undefined,
    buffered: () => undefined,
  });
  parser.begin(false);
  for (const piece of pieces) parser.push(Buffer.from(piece, 'latin1'));
  return {answers, endsWithConnection: parser.endsWithConnection};
}

// Guards against a complete 200 with an empty body for an answer whose server
// stopped in the middle of its head and closed the connection.
describe('an answer that breaks off in its head', () => {
  const NO_ANSWER = {answers: [], endsWithConnection: false};
  for (const [name, head] of Object.entries(SHAPES)) {
    it(`is no answer: ${name}`, () => {
      for (let end = 0; end < head.length; end += 1) {
        const start = head.slice(0, end);
        const split = Math.floor(end / 2);
        const pieces = [start.slice(0, split), start.slice(split)];
        expect(parse([start]), `${end} bytes`).to.deep.equal(NO_ANSWER);
        expect(parse(pieces), `${end} bytes split`).to.deep.equal(NO_ANSWER);
      }
    });
  }
});
