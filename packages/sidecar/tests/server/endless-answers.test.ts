import {createServer, type AddressInfo} from 'node:net';

import {ByteBudget, SystemClock} from '@turmericmill/utils';
import {expect} from 'chai';

import type {AnswerHolder} from '../../src/answer-budget.js';
import type {
  ExchangeEnd,
  WireRequest,
} from '../../src/server/server-connection.js';
import {ServerPool} from '../../src/server/server-pool.js';
import {EndlessServer, type EndlessBytes} from './endless-server.js';

const ID = 'X-Turmericmill-Request-Id';
const OK = `HTTP/1.1 200 OK\r\n${ID}: id-1\r\n`;
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
const UNTIL_CLOSE = `${OK}Connection: close\r\n\r\n`;
const EMPTY = `${OK}Content-Length: 0\r\n\r\n`;
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Time in ms within which an endless answer has to be cancelled. */
const CANCEL_TIMEOUT_MS = 2_000;
/** Most bytes that a server can write by then, with those in system buffers. */
const MAX_WRITTEN_BYTES = 24 * 1024 * 1024;

/** Answers with a part that never ends, by the name of that part. */
const PARTS: Record<string, EndlessBytes> = {
  'empty lines before a status line': {prefix: '', block: '\r\n'},
  'bytes without a line': {prefix: '', block: 'x'},
  'a status line': {prefix: 'HTTP/1.1 200 ', block: 'x'},
  'a header line': {prefix: `${OK}X-Long: `, block: 'x'},
  headers: {prefix: OK, block: 'X-More: x\r\n'},
  'header lines without a name': {prefix: OK, block: ': x\r\n'},
  'a folded header': {prefix: `${OK}X-Long: x\r\n`, block: ' x\r\n'},
  'informational answers': {
    prefix: '',
    block: 'HTTP/1.1 103 Early Hints\r\n\r\n',
  },
  'answers to another request': {
    prefix: '',
    block: `HTTP/1.1 200 OK\r\n${ID}: id-0\r\nContent-Length: 0\r\n\r\n`,
  },
  'long answers to another request': {
    prefix: '',
    block: `HTTP/1.1 200 OK\r\n${ID}: id-0\r\nContent-Length: 65536\r\n\r\n${'x'.repeat(65_536)}`,
  },
  'a body with a length': {
    prefix: `${OK}Content-Length: 999999999999999\r\n\r\n`,
    block: 'x',
  },
  'a body without a length': {prefix: UNTIL_CLOSE, block: 'x'},
  'bytes behind an answer': {prefix: `${EMPTY}xx`, block: 'x'},
  'one chunk': {prefix: `${CHUNKED}fffffffffff\r\n`, block: 'x'},
  'large chunks': {
    prefix: CHUNKED,
    block: `10000\r\n${'x'.repeat(65_536)}\r\n`,
  },
  'chunks of one byte': {prefix: CHUNKED, block: '1\r\nx\r\n'},
  'a chunk size': {prefix: CHUNKED, block: '0'},
  'a chunk extension': {prefix: `${CHUNKED}1;`, block: 'x'},
  'extensions of each chunk': {
    prefix: CHUNKED,
    block: `1;${'x'.repeat(500)}\r\nx\r\n`,
  },
  'bytes after a chunk': {prefix: `${CHUNKED}1\r\nx`, block: 'x'},
  trailers: {prefix: `${CHUNKED}0\r\n`, block: 'X-More: x\r\n'},
  'a trailer line': {prefix: `${CHUNKED}0\r\nX-Long: `, block: 'x'},
};

function request(method = 'GET', body = Buffer.alloc(0)): WireRequest {
  const requestId = 'id-1';
  const head = `${method} /x HTTP/1.1\r\n${ID}: ${requestId}\r\nContent-Length: ${body.length}\r\n\r\n`;
  const bodyless = method === 'HEAD';
  return {head: Buffer.from(head), body: [body], requestId, bodyless};
}

function exchange(pool: ServerPool, req = request()): Promise<ExchangeEnd> {
  return new Promise(resolve => pool.run(req, true, resolve));
}

/** Returns whether `condition` becomes true within `CANCEL_TIMEOUT_MS`. */
async function becomesTrue(condition: () => boolean): Promise<boolean> {
  const deadlineMs = Date.now() + CANCEL_TIMEOUT_MS;
  while (!condition() && Date.now() < deadlineMs) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  return condition();
}

/** Starts a server that answers in pieces of a KiB, with pauses between. */
async function startNormalServer(): Promise<{port: number; close(): void}> {
  const pieces = 40;
  const server = createServer(socket => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => {
      socket.write(`${OK}Content-Length: ${pieces * 1024}\r\n\r\n`);
      let sent = 0;
      const timer = setInterval(() => {
        socket.write('x'.repeat(1024));
        sent += 1;
        if (sent === pieces) clearInterval(timer);
      }, 5);
      socket.once('close', () => clearInterval(timer));
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {port, close: () => server.close()};
}

describe('an endless answer', () => {
  let server: EndlessServer;
  let pool: ServerPool;
  let answerBudget: ByteBudget<AnswerHolder>;

  async function start(
    bytes: EndlessBytes,
    maxBufferedBytes = MAX_BUFFERED_BYTES,
  ) {
    server = new EndlessServer(() => bytes);
    const port = await server.listen();
    answerBudget = new ByteBudget(maxBufferedBytes);
    pool = new ServerPool('127.0.0.1', port, new SystemClock(), answerBudget);
  }

  afterEach(() => {
    pool.destroy('The test is over.');
    server.close();
  });

  for (const [name, bytes] of Object.entries(PARTS)) {
    it(`is cancelled: ${name}`, async () => {
      await start(bytes);
      let end: ExchangeEnd | undefined;
      pool.run(request(), true, settled => (end = settled));
      await becomesTrue(() => end !== undefined);
      expect(end?.kind).to.equal('lost');
      expect(await becomesTrue(() => server.sockets.size === 0)).to.equal(true);
      expect(server.writtenBytes).to.be.at.most(MAX_WRITTEN_BYTES);
      expect(answerBudget.reservedBytes).to.equal(0);
    });
  }

  it('is not read any more once its request is cancelled', async () => {
    await start({prefix: UNTIL_CLOSE, block: 'x'}, MAX_WRITTEN_BYTES);
    const settled: ExchangeEnd[] = [];
    const running = pool.run(request(), true, end => settled.push(end));
    await becomesTrue(() => server.writtenBytes > 0);
    running.cancel();
    expect(await becomesTrue(() => server.sockets.size === 0)).to.equal(true);
    expect(settled).to.deep.equal([]);
    expect(server.writtenBytes).to.be.at.most(MAX_WRITTEN_BYTES);
  });

  for (const method of ['GET', 'HEAD']) {
    it(`that follows a complete one closes the connection: ${method}`, async () => {
      await start({prefix: EMPTY, block: method === 'HEAD' ? 'x' : EMPTY});
      const end = await exchange(pool, request(method));
      expect(end.kind).to.equal('answered');
      expect(await becomesTrue(() => server.sockets.size === 0)).to.equal(true);
      expect(server.writtenBytes).to.be.at.most(MAX_WRITTEN_BYTES);
    });
  }

  it('that follows an early answer closes the connection', async () => {
    await start({prefix: EMPTY, block: EMPTY});
    const body = Buffer.alloc(32 * 1024 * 1024);
    const end = await exchange(pool, request('POST', body));
    expect(end.kind).to.equal('answered');
    expect(await becomesTrue(() => server.sockets.size === 0)).to.equal(true);
    expect(server.writtenBytes).to.be.at.most(MAX_WRITTEN_BYTES);
  });

  it('that arrives without a request closes the idle connection', async () => {
    await start({prefix: EMPTY, block: ''});
    expect((await exchange(pool)).kind).to.equal('answered');
    expect(server.sockets.size).to.equal(1);
    const [socket] = server.sockets;
    if (socket) server.writeEndlessly(socket, {prefix: '', block: 'x'});
    expect(await becomesTrue(() => server.sockets.size === 0)).to.equal(true);
    expect(server.writtenBytes).to.be.at.most(MAX_WRITTEN_BYTES);
  });

  it('does not cause the loss of a normal answer', async () => {
    await start({prefix: UNTIL_CLOSE, block: 'x'});
    const normal = await startNormalServer();
    const normalPool = new ServerPool(
      '127.0.0.1',
      normal.port,
      new SystemClock(),
      answerBudget,
    );
    const lost: string[] = [];
    let isOver = false;
    let maxReservedBytes = 0;
    const exchangeRepeatedly = async () => {
      while (!isOver) {
        lost.push((await exchange(pool)).kind);
        maxReservedBytes = Math.max(
          maxReservedBytes,
          answerBudget.reservedBytes,
        );
      }
    };
    const exchanges = Promise.all(Array.from({length: 12}, exchangeRepeatedly));
    const end = await exchange(normalPool);
    isOver = true;
    await exchanges;
    normalPool.destroy('The test is over.');
    normal.close();
    expect(end.kind).to.equal('answered');
    expect(new Set(lost)).to.deep.equal(new Set(['lost']));
    expect(lost.length).to.be.above(24);
    expect(maxReservedBytes).to.be.within(1, MAX_BUFFERED_BYTES);
    expect(answerBudget.reservedBytes).to.equal(0);
  });
});
