import {expect} from 'chai';

import {
  framedHeaders,
  type MeasuredAnswer,
} from '../../src/ingress/answer-framing.js';

interface Case extends Partial<MeasuredAnswer> {
  expected: readonly string[] | undefined;
}

const CASES: Record<string, Case> = {
  'keeps a correct content-length': {
    headers: ['X-A', '1', 'Content-Length', '5'],
    expected: ['X-A', '1', 'Content-Length', '5'],
  },
  'adds a missing content-length': {
    headers: ['x-a', '1'],
    expected: ['x-a', '1', 'content-length', '5'],
  },
  'adds a content-length to an empty body': {
    headers: [],
    bytes: 0,
    expected: ['content-length', '0'],
  },
  'replaces chunked encoding by a content-length': {
    headers: ['transfer-encoding', 'chunked'],
    expected: ['content-length', '5'],
  },
  'drops a content-length beside chunked encoding': {
    headers: ['Content-Length', '9', 'Transfer-Encoding', 'chunked'],
    expected: ['content-length', '5'],
  },
  'rejects a body shorter than its content-length': {
    headers: ['content-length', '6'],
    expected: undefined,
  },
  'rejects a body longer than its content-length': {
    headers: ['content-length', '4'],
    expected: undefined,
  },
  'rejects a content-length that is not a number': {
    headers: ['content-length', 'x'],
    expected: undefined,
  },
  'HEAD: keeps the content-length of the answer to GET': {
    method: 'HEAD',
    headers: ['content-length', '700'],
    bytes: 0,
    expected: ['content-length', '700'],
  },
  'HEAD: adds no content-length': {
    method: 'HEAD',
    headers: ['x-a', '1'],
    bytes: 0,
    expected: ['x-a', '1'],
  },
  '304: keeps the content-length of the answer that is not sent again': {
    status: 304,
    headers: ['content-length', '700'],
    bytes: 0,
    expected: ['content-length', '700'],
  },
  '204: adds no content-length': {
    status: 204,
    headers: [],
    bytes: 0,
    expected: [],
  },
};

describe('framedHeaders', () => {
  for (const [name, {expected, ...given}] of Object.entries(CASES)) {
    it(name, () => {
      const base = {method: 'GET', status: 200, headers: [], bytes: 5};
      expect(framedHeaders({...base, ...given})).to.deep.equal(expected);
    });
  }
});
