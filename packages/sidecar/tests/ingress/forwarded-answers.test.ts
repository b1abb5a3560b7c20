import {expect} from 'chai';

import {EntryMesh, type PeerAnswer} from './entry-mesh.js';

interface Case extends Partial<PeerAnswer> {
  method?: string;
  /** Framing headers that the caller receives. */
  framing: Record<string, string>;
}

const PARTS = ['first ', 'second ', 'third'].map(text => Buffer.from(text));

const CASES: Record<string, Case> = {
  'with a content-length': {
    headers: ['content-length', '18'],
    framing: {'content-length': '18'},
  },
  'without a content-length': {framing: {'content-length': '18'}},
  'with chunked encoding that overrides a content-length': {
    headers: ['content-length', '3', 'transfer-encoding', 'chunked'],
    framing: {'content-length': '18'},
  },
  'with a server error': {
    status: 500,
    headers: ['content-length', '18'],
    framing: {'content-length': '18'},
  },
  'with an empty body': {frames: [], framing: {'content-length': '0'}},
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

describe('answers from servers of other nodes', () => {
  let mesh: EntryMesh;

  beforeEach(async () => {
    mesh = new EntryMesh();
    await mesh.start('safe');
  });

  afterEach(() => mesh.stop());

  for (const [name, sent] of Object.entries(CASES)) {
    it(`reach the caller complete: ${name}`, async () => {
      const {method, framing, ...parts} = sent;
      const {status = 200, headers = [], frames = PARTS} = parts;
      const own = ['X-Proof', 'p-1', 'X-Proof', 'p-2'];
      const answer = {status, headers: [...own, ...headers], frames};
      mesh.answers.push(answer, answer);
      const first = await mesh.call(method);
      const second = await mesh.call(method);
      for (const received of [first, second]) {
        expect(received.status).to.equal(status);
        expect(received.body.equals(Buffer.concat(frames))).to.equal(true);
        expect(received.headers['x-proof']).to.equal('p-1, p-2');
        const {'content-length': length, 'transfer-encoding': coding} =
          received.headers;
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
