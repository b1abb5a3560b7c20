import {expect} from 'chai';

import {endToEndHeaders} from '../../src/calls/headers.js';

const CASES: Record<string, {given: string[]; kept: string[]}> = {
  'a length alone stays': {
    given: ['Content-Length', '5', 'x-a', '1'],
    kept: ['Content-Length', '5', 'x-a', '1'],
  },
  'a length beside a transfer coding frames nothing': {
    given: ['Content-Length', '9', 'Transfer-Encoding', 'chunked'],
    kept: [],
  },
  'what belongs to the connection': {
    given: ['Connection', 'close, X-A', 'x-a', '1', 'Keep-Alive', 'timeout=5'],
    kept: [],
  },
};

describe('endToEndHeaders', () => {
  for (const [name, {given, kept}] of Object.entries(CASES)) {
    it(name, () => {
      expect(endToEndHeaders(given)).to.deep.equal(kept);
    });
  }
});
