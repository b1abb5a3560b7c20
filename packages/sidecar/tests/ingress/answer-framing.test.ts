import {expect} from 'chai';

import {
  framedHeaders,
  type MeasuredAnswer,
} from '../../src/ingress/answer-framing.js';

interface Case extends Partial<MeasuredAnswer> {
  framed: readonly string[] | undefined;
}

const CASES: Record<string, Case> = {
  'a length that holds stays': {
    headers: ['X-A', '1', 'Content-Length', '5'],
    framed: ['X-A', '1', 'Content-Length', '5'],
  },
  'a missing length is added': {
    headers: ['x-a', '1'],
    framed: ['x-a', '1', 'content-length', '5'],
  },
  'an empty body has a length, too': {
    headers: [],
    bytes: 0,
    framed: ['content-length', '0'],
  },
  'chunks have become a length': {
    headers: ['transfer-encoding', 'chunked'],
    framed: ['content-length', '5'],
  },
  'chunks override a length': {
    headers: ['Content-Length', '9', 'Transfer-Encoding', 'chunked'],
    framed: ['content-length', '5'],
  },
  'bytes are missing': {headers: ['content-length', '6'], framed: undefined},
  'bytes are left over': {headers: ['content-length', '4'], framed: undefined},
  'a length is no number': {
    headers: ['content-length', 'x'],
    framed: undefined,
  },
  'HEAD: the length of the answer to GET': {
    method: 'HEAD',
    headers: ['content-length', '700'],
    bytes: 0,
    framed: ['content-length', '700'],
  },
  'HEAD: no length is made up': {
    method: 'HEAD',
    headers: ['x-a', '1'],
    bytes: 0,
    framed: ['x-a', '1'],
  },
  '304: the length of the answer that is not repeated': {
    status: 304,
    headers: ['content-length', '700'],
    bytes: 0,
    framed: ['content-length', '700'],
  },
  '204: has no length': {status: 204, headers: [], bytes: 0, framed: []},
};

describe('framedHeaders', () => {
  for (const [name, {framed, ...given}] of Object.entries(CASES)) {
    it(name, () => {
      const base = {method: 'GET', status: 200, headers: [], bytes: 5};
      expect(framedHeaders({...base, ...given})).to.deep.equal(framed);
    });
  }
});
