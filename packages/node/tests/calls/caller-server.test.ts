import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';

import {expect} from 'chai';

import {CallerServer} from '../../src/calls/caller-server.js';

/** Larger than the socket buffers of both ends together. */
const LONG_ANSWER = Buffer.alloc(32 * 1024 * 1024, 'a');
/** Interval in ms at which idle connections are closed. */
const CLOSE_INTERVAL_MS = 20;
const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

async function nextTurn(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

type Answer = (req: IncomingMessage, res: ServerResponse) => void;

describe('CallerServer', () => {
  let answer: Answer;
  let server: CallerServer;
  let socket: Socket;

  beforeEach(async () => {
    server = new CallerServer({}, (req, res) => answer(req, res));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    await once(socket, 'connect');
  });

  afterEach(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  });

  it('keeps a connection open until an ended answer is sent', async () => {
    const ended = new Promise<void>(resolve => {
      answer = (unusedReq, res) => {
        res.writeHead(200, {'content-length': LONG_ANSWER.length});
        res.end(LONG_ANSWER);
        resolve();
      };
    });
    socket.write(REQUEST);
    await ended;
    const closed = new Promise(resolve => server.close(resolve));
    let bytes = 0;
    socket.on('data', (chunk: Buffer) => (bytes += chunk.length));
    const timer = setInterval(
      () => server.closeIdleConnections(),
      CLOSE_INTERVAL_MS,
    );
    await once(socket, 'close');
    await closed;
    clearInterval(timer);
    expect(bytes).to.be.greaterThan(LONG_ANSWER.length);
  });

  it('when draining closes a connection with an answer not yet started', async () => {
    const received = new Promise<ServerResponse>(resolve => {
      answer = (unusedReq, res) => resolve(res);
    });
    socket.write(REQUEST);
    const res = await received;
    server.drain();
    res.end('a');
    const [text] = (await once(socket, 'data')) as [Buffer];
    expect(text.toString()).to.match(/\r\nconnection: close\r\n/i);
    await once(socket, 'close');
  });

  it('when draining closes a connection with an answer to a later request', async () => {
    answer = (unusedReq, res) => void res.end('a');
    server.drain();
    socket.write(REQUEST);
    const [text] = (await once(socket, 'data')) as [Buffer];
    expect(text.toString()).to.match(/\r\nconnection: close\r\n/i);
    await once(socket, 'close');
  });

  it('discards queued responses of a caller that disconnected', async () => {
    answer = () => undefined;
    socket.write(REQUEST.repeat(3));
    await once(server, 'request');
    expect(server.openResponses).to.equal(3);
    socket.destroy();
    while (server.openResponses > 0) await nextTurn();
  });
});
