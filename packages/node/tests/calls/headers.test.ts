import {expect} from 'chai';

import {endToEndHeaders} from '../../src/calls/headers.js';

const CASES: Record<string, {input: string[]; kept: string[]}> = {
  'keeps a content length without a transfer coding': {
    input: ['Content-Length', '5', 'x-a', '1'],
    kept: ['Content-Length', '5', 'x-a', '1'],
  },
  'removes a content length beside a transfer coding': {
    input: ['Content-Length', '9', 'Transfer-Encoding', 'chunked'],
    kept: [],
  },
  'removes hop-by-hop headers': {
    input: ['Connection', 'close, X-A', 'x-a', '1', 'Keep-Alive', 'timeout=5'],
    kept: [],
  },
};

describe('endToEndHeaders', () => {
  for (const [name, {input, kept}] of Object.entries(CASES)) {
    it(name, () => {
      expect(endToEndHeaders(input)).to.deep.equal(kept);
    });
  }
});
