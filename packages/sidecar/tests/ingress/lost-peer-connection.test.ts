import {connect} from 'node:net';

import {expect} from 'chai';

import {EntryMesh, type PeerAnswer} from './entry-mesh.js';

const FRAME = Buffer.alloc(64 * 1024, 'f');
const BODY = Buffer.concat([FRAME, FRAME, FRAME]);
const WHOLE: PeerAnswer = {
  status: 200,
  headers: ['content-length', String(BODY.length)],
  frames: [FRAME, FRAME, FRAME],
};
const LOST: PeerAnswer = {...WHOLE, frames: [FRAME, FRAME], loses: true};

/** Resolves with how the connection ended after a call of HTTP/1.0. */
function endOfOldCall(port: number): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', (err: NodeJS.ErrnoException) => {
      resolve(err.code ?? err.message);
    });
    socket.on('end', () => resolve('end'));
    socket.resume();
    socket.write('GET /d/x HTTP/1.0\r\nhost: shop.example\r\n\r\n');
  });
}

describe('a connection between nodes that is lost during an answer', () => {
  let mesh: EntryMesh;

  beforeEach(() => {
    mesh = new EntryMesh();
  });

  afterEach(() => mesh.stop());

  for (const kind of ['safe', 'download'] as const) {
    it(`leaves the caller a whole answer and its connection: ${kind}`, async () => {
      await mesh.start(kind);
      const ports = new Set<number>();
      for (let time = 0; time < 3; time++) {
        mesh.answers.push(LOST, WHOLE);
        const {status, body, port} = await mesh.call();
        expect(status).to.equal(200);
        expect(body.equals(BODY)).to.equal(true);
        ports.add(port);
      }
      expect(ports.size).to.equal(1);
    });
  }

  it('ends a request that must not run again with 502', async () => {
    await mesh.start('unsafe');
    const ports = new Set<number>();
    for (let time = 0; time < 3; time++) {
      mesh.answers.push(LOST);
      const {status, port} = await mesh.call();
      expect(status).to.equal(502);
      ports.add(port);
    }
    expect(ports.size).to.equal(1);
    expect(mesh.ran).to.have.length(3);
  });

  it('resets a caller that reads until the end, once part is streamed', async () => {
    await mesh.stop();
    mesh = new EntryMesh(0);
    await mesh.start('safe');
    mesh.answers.push({...LOST, headers: []});
    expect(await endOfOldCall(mesh.port)).to.equal('ECONNRESET');
  });
});
