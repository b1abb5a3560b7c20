import {expect} from 'chai';

import {EntryMesh, type PeerAnswer} from './entry-mesh.js';

interface Case extends Partial<PeerAnswer> {
  method?: string;
  /** Framing headers that the caller gets. */
  framing: Record<string, string>;
}

const PARTS = ['first ', 'second ', 'third'].map(text => Buffer.from(text));

const CASES: Record<string, Case> = {
  'a length': {
    headers: ['content-length', '18'],
    framing: {'content-length': '18'},
  },
  'no length': {framing: {'content-length': '18'}},
  'chunks and a length that they override': {
    headers: ['content-length', '3', 'transfer-encoding', 'chunked'],
    framing: {'content-length': '18'},
  },
  'a failure of the server': {
    status: 500,
    headers: ['content-length', '18'],
    framing: {'content-length': '18'},
  },
  'an empty body': {frames: [], framing: {'content-length': '0'}},
  HEAD: {
    method: 'HEAD',
    headers: ['content-length', '700'],
    frames: [],
    framing: {'content-length': '700'},
  },
  '204': {status: 204, frames: [], framing: {}},
  '304': {
    status: 304,
    headers: ['content-length', '700'],
    frames: [],
    framing: {'content-length': '700'},
  },
};

describe('answers from servers beside other nodes', () => {
  let mesh: EntryMesh;

  beforeEach(async () => {
    mesh = new EntryMesh();
    await mesh.start('safe');
  });

  afterEach(() => mesh.stop());

  for (const [name, given] of Object.entries(CASES)) {
    it(`come out as they were: ${name}`, async () => {
      const {method, framing, ...parts} = given;
      const {status = 200, headers = [], frames = PARTS} = parts;
      const own = ['X-Proof', 'p-1', 'X-Proof', 'p-2'];
      const answer = {status, headers: [...own, ...headers], frames};
      mesh.answers.push(answer, answer);
      const first = await mesh.call(method);
      const second = await mesh.call(method);
      for (const got of [first, second]) {
        expect(got.status).to.equal(status);
        expect(got.body.equals(Buffer.concat(frames))).to.equal(true);
        expect(got.headers['x-proof']).to.equal('p-1, p-2');
        const {'content-length': length, 'transfer-encoding': coding} =
          got.headers;
        const stated = {
          ...(length !== undefined && {'content-length': length}),
          ...(coding !== undefined && {'transfer-encoding': coding}),
        };
        expect(stated).to.deep.equal(framing);
      }
      expect(second.port).to.equal(first.port);
    });
  }
});
