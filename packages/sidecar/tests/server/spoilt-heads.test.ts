import {expect} from 'chai';

import {checkAnswer} from '../../src/server/answer-check.js';
import {AnswerParser} from '../../src/server/answer-parser.js';

const SEAL = 'X-Turmericmill-Response-Seal: s';
const HEAD = [
  'HTTP/1.1 200 OK',
  'Date: Mon, 07 Dec 2026 12:00:00 GMT',
  'X-Turmericmill-Request-Id: q-1',
  SEAL,
].join('\r\n');
const BODY = 'hello world!';
const CHUNKS = `c;a=b\r\n${BODY}\r\n0\r\nX-Trailer: z\r\n\r\n`;
const LENGTH = 'Content-Length: 12';
const CODING = 'Transfer-Encoding: chunked';
const CLOSE = 'Connection: close';
const INFORMATION = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';

/** Ends of a head that end before the empty line that was meant. */
const EARLY_ENDS = [
  '\n\n\r\n',
  '\n\r\n\r\n',
  '\r\n\r\n\r\n',
  '\r\n\r\n\r\n\r\n',
  '\r\n\n\r\n',
  '\r\n\n\n',
  '\r\n\r\n\n',
];

function answerOf(lines: readonly string[], body: string) {
  return {head: `${[HEAD, ...lines].join('\r\n')}\r\n\r\n`, body};
}

const WITH_LENGTH = answerOf([LENGTH, 'X-A: b'], BODY);

/** Answers whose body is `BODY`. */
const SOUND: Record<string, {head: string; body: string}> = {
  'with a length': WITH_LENGTH,
  'with a length, then a close': answerOf([LENGTH, CLOSE], BODY),
  'with a close, then a length': answerOf([CLOSE, LENGTH], BODY),
  'in chunks': answerOf([CODING, 'X-A: b'], CHUNKS),
  'in chunks, then a close': answerOf([CODING, CLOSE], CHUNKS),
  'with a close, then in chunks': answerOf([CLOSE, CODING], CHUNKS),
  'that ends with the connection': answerOf([CLOSE], BODY),
  'of HTTP/1.0': {
    head: answerOf([], BODY).head.replace('/1.1', '/1.0'),
    body: BODY,
  },
  'of lines that end with LF': {
    head: WITH_LENGTH.head.replaceAll('\r', ''),
    body: BODY,
  },
  'after an informational one': {
    head: INFORMATION + WITH_LENGTH.head,
    body: BODY,
  },
};

/**
 * Heads from the proof on that are sound, though spoilt: they state that the
 * body ends with the connection, and an empty line ends them too early. Their
 * body begins with the rest of the head, as that of a sound answer may.
 */
const UNTOLD: Record<string, readonly string[]> = {
  'with a close, then a length': [
    `\r\n${CLOSE}\r\n\r\n\r\n${LENGTH}\r\n\r\n`,
    `\r\n${CLOSE}\r\n\nontent-Length: 12\r\n\r\n`,
  ],
  'with a close, then in chunks': [
    `\r\n${CLOSE}\r\n\r\n\r\n${CODING}\r\n\r\n`,
    `\r\n${CLOSE}\r\n\nransfer-Encoding: chunked\r\n\r\n`,
  ],
  'that ends with the connection': EARLY_ENDS.map(end => `\r\n${CLOSE}${end}`),
  'of HTTP/1.0': EARLY_ENDS,
};

/** `SPOIL_BYTES=all` replaces by every byte; CI takes those of a head. */
const BYTES =
  process.env['SPOIL_BYTES'] === 'all'
    ? Array.from({length: 256}, (unused, code) => String.fromCharCode(code))
    : [...'0129acdhnxzGT-;:,= \t\r\n\0\x7f\x80\xa0\xff'];
/** What a byte is split by: ends of lines, spaces, a colon. */
const SEPARATORS = ['\n', '\r\n', '\r\n\r\n', ' ', '\t', ':'];

/** The head with the byte at `place` deleted, doubled, replaced, split off. */
function* spoil(head: string, place: number): Generator<string> {
  const before = head.slice(0, place);
  const after = head.slice(place + 1);
  const byte = head.charAt(place);
  yield before + after;
  yield before + byte + byte + after;
  for (const other of BYTES) yield before + other + after;
  for (const other of SEPARATORS) yield before + other + byte + after;
}

/** The bodies that are taken for the server's when it then closes. */
function wholeBodies(pieces: readonly string[]): string[] {
  const bodies: string[] = [];
  const parser = new AnswerParser({
    answer: answer => {
      if (checkAnswer(answer) !== 'complete') return;
      bodies.push(Buffer.concat(answer.body).toString('latin1'));
    },
    malformed: () => undefined,
    buffered: () => undefined,
  });
  parser.begin(false);
  for (const piece of pieces) parser.push(Buffer.from(piece, 'latin1'));
  if (parser.endsWithConnection) parser.end();
  return bodies;
}

// Guards against a success with a body that is not the server's.
describe('an answer with one byte of its head spoilt', () => {
  for (const [name, {head, body}] of Object.entries(SOUND)) {
    it(`is whole while nothing is spoilt: ${name}`, () => {
      const stream = head + body;
      for (let cut = 0; cut <= stream.length; cut += 1) {
        const pieces = [stream.slice(0, cut), stream.slice(cut)];
        expect(wholeBodies(pieces), `cut at ${cut}`).to.deep.equal([BODY]);
      }
    });

    it(`has the server's body or is none: ${name}`, function () {
      this.timeout(120_000);
      const wrong = new Set<string>();
      const fixedBytes = head.indexOf(SEAL) + SEAL.length;
      for (let place = 0; place < head.length; place += 1) {
        for (const spoilt of spoil(head, place)) {
          for (const pieces of [
            [spoilt + body],
            [spoilt.slice(0, place), spoilt.slice(place) + body],
          ]) {
            const isRight = wholeBodies(pieces).every(one => one === BODY);
            if (!isRight) wrong.add(spoilt.slice(fixedBytes));
          }
        }
      }
      expect([...wrong]).to.deep.equal(UNTOLD[name] ?? []);
    });
  }
});
