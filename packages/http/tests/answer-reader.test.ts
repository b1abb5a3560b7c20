import {expect} from 'chai';

import {AnswerReader} from '../src/answer-reader.js';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const PIECE_BYTES = 64 * 1024;
/** Limit in ms for the reading of some megabytes, which takes far less. */
const MAX_READ_MS = 1_000;

/** Reads an answer in pieces of the size of a read; the server then closes. */
function read(answer: Buffer): string[] {
  const seen: string[] = [];
  let bytes = 0;
  const reader = new AnswerReader({
    head: () => undefined,
    body: piece => (bytes += piece.length),
    end: () => seen.push(`${bytes} bytes`),
    malformed: () => seen.push('malformed'),
  });
  reader.begin(false);
  for (let at = 0; at < answer.length; at += PIECE_BYTES) {
    reader.push(answer.subarray(at, at + PIECE_BYTES));
  }
  reader.end();
  return seen;
}

describe('a body that ends with its connection', () => {
  // Guards against a reader within a reader for each of these heads.
  it('may consist of many heads that end with theirs', function () {
    this.timeout(MAX_READ_MS);
    const body = 'Connection: close\r\n\r\n'.repeat(200_000);
    const answer = Buffer.from(HEAD + body);
    expect(read(answer)).to.deep.equal([`${body.length} bytes`]);
  });

  it('may come in one read with an informational answer', () => {
    const answer = `HTTP/1.1 103 Early Hints\r\n\r\n${HEAD}hello`;
    expect(read(Buffer.from(answer))).to.deep.equal(['5 bytes']);
  });

  const RAW = {
    'is taken as it is': ['hello', '5 bytes'],
    'is refused if it is a body in chunks': [
      '1\r\nx\r\n0\r\n\r\n',
      'malformed',
    ],
    'is taken if a part of it is a body in chunks': [
      '1\r\nx\r\n0\r\n\r\nx',
      '12 bytes',
    ],
    'is refused if it is fields and their body': [
      'X-A: b\r\nContent-Length: 1\r\n\r\nx',
      'malformed',
    ],
    'is taken if its fields frame another body': [
      'X-A: b\r\nContent-Length: 2\r\n\r\nx',
      '30 bytes',
    ],
  } as const;
  for (const [name, [body, expected]] of Object.entries(RAW)) {
    it(name, () => {
      expect(read(Buffer.from(HEAD + body))).to.deep.equal([expected]);
    });
  }
});
