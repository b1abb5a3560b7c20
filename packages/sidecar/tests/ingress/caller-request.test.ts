import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';

import {SystemClock} from '@turmericmill/utils';
import {expect} from 'chai';

import {BodyBudget} from '../../src/ingress/body-budget.js';
import {
  CallerRequest,
  type UndeliveredAnswer,
} from '../../src/ingress/caller-request.js';

const REQUEST = 'GET /d/x HTTP/1.1\r\nhost: shop.example\r\n\r\n';
const LONG_POST = `POST /d/x HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 4000\r\n\r\n${'a'.repeat(2_000)}`;
/** More bytes than the socket buffers of a connection take. */
const LARGE_BYTES = 32 * 1024 * 1024;
const SMALL_BYTES = 1024;

/** Sends a request and answers it; `closed` resolves with its response. */
async function answerRequest(bytes: number) {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('error', () => undefined);
  const answered = new Promise<{
    caller: CallerRequest;
    closed: Promise<UndeliveredAnswer | undefined>;
  }>(resolve => {
    server.once('request', (req, res) => {
      const caller = new CallerRequest(req, res, new SystemClock());
      const closed = new Promise<UndeliveredAnswer | undefined>(done => {
        caller.onClosed = done;
      });
      caller.start(200, ['content-length', String(bytes)]);
      caller.data(Buffer.alloc(bytes));
      caller.end();
      resolve({caller, closed});
    });
  });
  socket.write(REQUEST);
  return {server, socket, ...(await answered)};
}

const CLOSES: Record<string, (server: Server, socket: Socket) => void> = {
  peer: (server, socket) => socket.resetAndDestroy(),
  node: server => server.closeAllConnections(),
};

describe('CallerRequest', () => {
  for (const [closedBy, close] of Object.entries(CLOSES)) {
    // Guards against counting an answer as delivered whose caller saw the
    // connection break.
    it(`reports an undelivered answer when the ${closedBy} closes`, async () => {
      const {server, socket, caller, closed} = await answerRequest(LARGE_BYTES);
      expect(caller.isFlushing).to.equal(true);
      close(server, socket);
      const undelivered = await closed;
      expect(undelivered).to.include({bytes: LARGE_BYTES, closedBy});
      expect(undelivered?.sinceEndMs).to.be.at.least(0);
      expect(caller.isFlushing).to.equal(false);
      socket.destroy();
      server.close();
    });
  }

  // Guards against a leak: pipelined requests that waited behind an unanswered
  // one were kept and ran on after their caller had disconnected.
  it('notices that the caller of a pipelined request has disconnected', async () => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined);
    const callers: CallerRequest[] = [];
    const closed = new Promise<void>(resolve => {
      server.on('request', (req, res) => {
        const caller = new CallerRequest(req, res, new SystemClock());
        callers.push(caller);
        if (callers.length < 2) return;
        caller.onClosed = () => resolve();
        socket.resetAndDestroy();
      });
    });
    socket.write(REQUEST + REQUEST);
    await closed;
    expect(callers.map(({hasDisconnected}) => hasDisconnected)).to.deep.equal([
      true,
      true,
    ]);
    server.close();
  });

  // Guards against an exception that ended the process: the report of the close
  // used the socket of a request whose body was not read to its end.
  it('reports how an answer to a body over the limit was lost', async () => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(LONG_POST);
    const [req, res] = (await once(server, 'request')) as [
      IncomingMessage,
      ServerResponse,
    ];
    const caller = new CallerRequest(req, res, new SystemClock());
    const closed = new Promise(resolve => (caller.onClosed = resolve));
    const body = await caller.readBody(1_000, new BodyBudget(0));
    expect(body).to.equal('too-large');
    caller.start(413, ['content-length', String(LARGE_BYTES)]);
    caller.data(Buffer.alloc(LARGE_BYTES));
    caller.end();
    socket.resetAndDestroy();
    expect(await closed).to.include({closedBy: 'peer'});
    server.close();
  });

  it('counts a fully written answer as delivered', async () => {
    const {server, socket, caller, closed} = await answerRequest(SMALL_BYTES);
    expect(await closed).to.equal(undefined);
    expect(caller.isFlushing).to.equal(false);
    expect(caller.bytesWritten).to.equal(SMALL_BYTES);
    socket.destroy();
    server.close();
  });
});
