import {expect} from 'chai';

import {
  decodeBatch,
  encodeBatch,
  encodeOperation,
  type ClaimLogOperation,
} from '../../src/claims/index.js';

const HEAD = {writer: 'w1', seq: 1, atMs: 1000, untilMs: 2000};

describe('claim records', () => {
  it('encode and decode every operation', () => {
    const operations: ClaimLogOperation[] = [
      {type: 'claim', key: 'k', claimId: 'e.1', requestDigest: 'd'},
      {type: 'release', key: 'k', claimId: 'e.1'},
      {
        type: 'answer',
        key: 'k',
        claimId: 'e.1',
        answer: {
          status: 201,
          headers: ['content-type', 'text/plain; é'],
          body: Buffer.from([0, 255, 34]),
        },
      },
    ];
    const body = encodeBatch(HEAD, operations.map(encodeOperation));
    expect(body).toMatchSnapshot();
    expect(decodeBatch(body)).to.deep.equal({...HEAD, operations});
  });

  const head = '"writer":"w","seq":1,"atMs":1,"untilMs":2';
  const invalid: Record<string, string> = {
    'malformed JSON': '{',
    'a body that is not an object': 'null',
    'the writer missing': '{"seq":1,"atMs":1,"untilMs":2,"operations":[]}',
    'a fractional sequence number':
      '{"writer":"w","seq":1.5,"atMs":1,"untilMs":2,"operations":[]}',
    'operations missing': `{${head}}`,
    'an unknown operation': `{${head},"operations":[["x","k","e"]]}`,
    'an operation without a key': `{${head},"operations":[["c"]]}`,
    'a claim without a digest': `{${head},"operations":[["c","k","e"]]}`,
    'an answer without a body': `{${head},"operations":[["a","k","e",200,[]]]}`,
    'headers that are not text': `{${head},"operations":[["a","k","e",200,[1],""]]}`,
  };
  for (const [name, body] of Object.entries(invalid)) {
    it(`skip a record with ${name}`, () => {
      expect(decodeBatch(body)).to.equal(undefined);
    });
  }
});
