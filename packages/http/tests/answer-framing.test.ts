import {expect} from 'chai';

import {decideFraming, type AnswerFraming} from '../src/answer-framing.js';

interface Case {
  headers: string[];
  status?: number;
  httpVersion?: string;
  isBodyless?: boolean;
  /** Undefined: the head is refused. */
  framing: AnswerFraming | undefined;
}

const LENGTH = ['Content-Length', '12'];
const CODING = ['Transfer-Encoding', 'chunked'];
const CLOSE = ['Connection', 'close'];

const CASES: Record<string, Case> = {
  'a length': {headers: LENGTH, framing: 'length'},
  'a length of 0': {headers: ['content-length', '0'], framing: 'length'},
  'a length and a close': {headers: [...CLOSE, ...LENGTH], framing: 'length'},
  chunks: {headers: CODING, framing: 'chunks'},
  'chunks in another case': {
    headers: ['TRANSFER-ENCODING', 'Chunked'],
    framing: 'chunks',
  },
  'a close': {headers: CLOSE, framing: 'connection-end'},
  'a close among other options': {
    headers: ['connection', 'X-A, Close'],
    framing: 'connection-end',
  },
  nothing: {headers: [], framing: undefined},
  'a connection that is kept': {
    headers: ['Connection', 'keep-alive'],
    framing: undefined,
  },
  'an option that is not close': {
    headers: ['Connection', 'closed'],
    framing: undefined,
  },
  'nothing in HTTP/1.0': {
    headers: [],
    httpVersion: '1.0',
    framing: 'connection-end',
  },
  'a connection that is kept in HTTP/1.0': {
    headers: ['Connection', 'Keep-Alive'],
    httpVersion: '1.0',
    framing: undefined,
  },
  'two lengths': {headers: [...LENGTH, ...LENGTH], framing: undefined},
  'a length and chunks': {headers: [...LENGTH, ...CODING], framing: undefined},
  'two codings': {headers: [...CODING, ...CODING], framing: undefined},
  'a length in words': {
    headers: ['Content-Length', 'twelve'],
    framing: undefined,
  },
  'a length with a sign': {
    headers: ['Content-Length', '+12'],
    framing: undefined,
  },
  'an empty length': {headers: ['Content-Length', ''], framing: undefined},
  'an empty coding': {headers: ['Transfer-Encoding', ''], framing: undefined},
  'another coding': {
    headers: [...CLOSE, 'Transfer-Encoding', 'gzip'],
    framing: undefined,
  },
  'a coding before chunks': {
    headers: ['Transfer-Encoding', 'gzip, chunked'],
    framing: undefined,
  },
  'a coding after chunks': {
    headers: [...CLOSE, 'Transfer-Encoding', 'chunked, gzip'],
    framing: undefined,
  },
  'HEAD with a length': {headers: LENGTH, isBodyless: true, framing: 'none'},
  'HEAD with chunks': {headers: CODING, isBodyless: true, framing: 'none'},
  'HEAD with nothing': {headers: [], isBodyless: true, framing: 'none'},
  '304 with a length': {headers: LENGTH, status: 304, framing: 'none'},
  '304 with nothing': {headers: [], status: 304, framing: 'none'},
  '204 with nothing': {headers: [], status: 204, framing: 'none'},
  '204 with a length of 0': {
    headers: ['Content-Length', '0'],
    status: 204,
    framing: 'none',
  },
  '204 with a length': {headers: LENGTH, status: 204, framing: undefined},
  '204 with chunks': {headers: CODING, status: 204, framing: undefined},
  '103 with nothing': {headers: [], status: 103, framing: 'none'},
  '103 with a length': {headers: LENGTH, status: 103, framing: undefined},
};

describe('decideFraming', () => {
  for (const [name, {framing, isBodyless, ...given}] of Object.entries(CASES)) {
    it(`${framing ?? 'refuses'}: ${name}`, () => {
      const head = {status: 200, httpVersion: '1.1', ...given};
      const decided = decideFraming(head, isBodyless ?? false);
      expect(decided.unwrapOr(undefined)).to.equal(framing);
    });
  }
});
