import {connect} from 'node:net';

import {expect} from 'chai';

import {EntryMesh, type PeerAnswer} from './entry-mesh.js';

const FRAME = Buffer.alloc(64 * 1024, 'f');
const BODY = Buffer.concat([FRAME, FRAME, FRAME]);
const COMPLETE: PeerAnswer = {
  status: 200,
  headers: ['content-length', String(BODY.length)],
  frames: [FRAME, FRAME, FRAME],
};
const BROKEN: PeerAnswer = {...COMPLETE, frames: [FRAME, FRAME], breaks: true};

/** Sends an HTTP/1.0 request and resolves with how its connection ended. */
function endOfHttp10Call(port: number): Promise<string> {
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

describe('loss of a connection between nodes during an answer', () => {
  let mesh: EntryMesh;

  beforeEach(() => {
    mesh = new EntryMesh();
  });

  afterEach(() => mesh.stop());

  for (const kind of ['safe', 'download'] as const) {
    it(`still gives the caller a complete answer, on the same connection: ${kind}`, async () => {
      await mesh.start(kind);
      const ports = new Set<number>();
      for (let round = 0; round < 3; round++) {
        mesh.answers.push(BROKEN, COMPLETE);
        const {status, body, port} = await mesh.call();
        expect(status).to.equal(200);
        expect(body.equals(BODY)).to.equal(true);
        ports.add(port);
      }
      expect(ports.size).to.equal(1);
    });
  }

  it('answers a request that must not be repeated with 502', async () => {
    await mesh.start('unsafe');
    const ports = new Set<number>();
    for (let round = 0; round < 3; round++) {
      mesh.answers.push(BROKEN);
      const {status, port} = await mesh.call();
      expect(status).to.equal(502);
      ports.add(port);
    }
    expect(ports.size).to.equal(1);
    expect(mesh.receivedCalls).to.have.length(3);
  });

  it('resets an HTTP/1.0 connection once part of the answer is streamed', async () => {
    await mesh.stop();
    mesh = new EntryMesh(0);
    await mesh.start('safe');
    mesh.answers.push({...BROKEN, headers: []});
    expect(await endOfHttp10Call(mesh.port)).to.equal('ECONNRESET');
  });
});
