import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

import {ByteBudget, blockEventLoop, SystemClock} from '@turmericmill/utils';
import {expect} from 'chai';

import type {AnswerHolder} from '../../src/answer-budget.js';
import type {
  ExchangeEnd,
  WireRequest,
} from '../../src/server/server-connection.js';
import {ServerPool} from '../../src/server/server-pool.js';

const ID = 'X-Turmericmill-Request-Id';
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Time in ms for which the event loop blocks; exceeds the connect timeout. */
const BLOCKED_MS = 400;

function answer(id: string, body: string, moreHeaders = ''): string {
  return `HTTP/1.1 200 OK\r\n${ID}: ${id}\r\n${moreHeaders}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Text that the server writes, a close of the connection or a pause. */
type Step = string | 'reset' | 'end' | {afterMs: number};

/** Runs the next script for each request. */
class ScriptedServer {
  connections = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly scripts: Step[][]) {
    this.server = createServer(socket => this.serve(socket));
  }

  async listen(): Promise<number> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private serve(socket: Socket): void {
    this.connections += 1;
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('data', chunk => {
      // The pool writes empty lines to detect resets; they are not requests.
      if (chunk.toString().trim() === '') return;
      void this.play(socket, this.scripts.shift() ?? []);
    });
  }

  private async play(socket: Socket, steps: Step[]): Promise<void> {
    for (const step of steps) {
      if (step === 'reset') socket.resetAndDestroy();
      else if (step === 'end') socket.end();
      else if (typeof step === 'string') socket.write(step, 'latin1');
      else await new Promise(resolve => setTimeout(resolve, step.afterMs));
    }
  }
}

function request(requestId: string): WireRequest {
  const head = Buffer.from(`GET /x HTTP/1.1\r\n${ID}: ${requestId}\r\n\r\n`);
  return {head, body: [], requestId, bodyless: false};
}

function textOf(end: ExchangeEnd): string {
  if (end.kind !== 'answered') return end.kind;
  const {status, body} = end.answer;
  return `${status} ${Buffer.concat(body).toString('latin1')}`;
}

function createPool(port: number): ServerPool {
  const answerBudget = new ByteBudget<AnswerHolder>(MAX_BUFFERED_BYTES);
  return new ServerPool('127.0.0.1', port, new SystemClock(), answerBudget);
}

async function runScripts(scripts: Step[][]) {
  const server = new ScriptedServer(scripts);
  const port = await server.listen();
  const pool = createPool(port);
  const ends: string[] = [];
  const count = scripts.length;
  for (let i = 1; i <= count; i++) {
    const end = await new Promise<ExchangeEnd>(resolve => {
      pool.run(request(`id-${i}`), true, resolve);
    });
    ends.push(textOf(end));
    // Bytes after an answer have to be read before the next request.
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  pool.destroy('The test is over.');
  server.close();
  return {ends, connections: server.connections};
}

interface Case {
  scripts: Step[][];
  ends: string[];
  connections: number;
}

const REFUSAL = 'HTTP/1.1 503 Busy\r\nX-Turmericmill-Not-Executed: 1\r\n';
const EMPTY = 'Content-Length: 0\r\n\r\n';
const REFUSAL_1 = `${REFUSAL}${ID}: id-1\r\n${EMPTY}`;

const CHUNKED = `HTTP/1.1 200 OK\r\n${ID}: id-1\r\nTransfer-Encoding: chunked\r\n\r\n`;
const UNFRAMED = `HTTP/1.1 200 OK\r\n${ID}: id-1\r\nConnection: close\r\n\r\n`;
const OK_2 = [answer('id-2', 'two')];

const CASES: Record<string, Case> = {
  'reuses a connection for the next request': {
    scripts: [[answer('id-1', 'one')], OK_2],
    ends: ['200 one', '200 two'],
    connections: 1,
  },
  'accepts an answer that arrives in pieces': {
    scripts: [['HTTP/1.1 200 O', `K\r\nContent-Le`, 'ngth: 3\r\n\r\no', 'ne']],
    ends: ['200 one'],
    connections: 1,
  },
  'accepts a chunked answer with its last chunk': {
    scripts: [[`${CHUNKED}3\r\none\r\n0\r\n\r\n`], OK_2],
    ends: ['200 one', '200 two'],
    connections: 1,
  },
  'reports a chunked answer without its last chunk as lost': {
    scripts: [[`${CHUNKED}3\r\none\r\n`, 'end'], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'does not take a malformed chunk size for the last chunk': {
    scripts: [[`${CHUNKED}zz\r\n\r\n`], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'reports an answer that is shorter than its content-length as lost': {
    scripts: [[answer('id-1', 'one').slice(0, -1), 'end'], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'accepts an answer without a length when the connection ends': {
    scripts: [[`${UNFRAMED}one`, 'end'], OK_2],
    ends: ['200 one', '200 two'],
    connections: 2,
  },
  'does not accept one that does not state the end of its connection': {
    scripts: [[`HTTP/1.1 200 OK\r\n${ID}: id-1\r\n\r\none`, 'end'], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'reports an answer without a length as lost after a reset': {
    scripts: [[`${UNFRAMED}one`, {afterMs: 20}, 'reset'], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'detects a reset that arrives together with an answer without a length': {
    scripts: [[`${UNFRAMED}one`, 'reset'], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'rejects an answer with a malformed content-length': {
    scripts: [['HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n'], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'rejects an answer with a header that cannot be forwarded': {
    scripts: [[answer('id-1', 'one', 'X-Odd: a\u0001b\r\n')], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'rejects bytes that are not an HTTP answer': {
    scripts: [['hello\r\n\r\n'], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'skips an informational answer': {
    scripts: [['HTTP/1.1 103 Early Hints\r\n\r\n', answer('id-1', 'one')]],
    ends: ['200 one'],
    connections: 1,
  },
  'accepts a 304 that states the length of the body it leaves out': {
    scripts: [
      [`HTTP/1.1 304 Same\r\n${ID}: id-1\r\nContent-Length: 700\r\n\r\n`],
      OK_2,
    ],
    ends: ['304 ', '200 two'],
    connections: 1,
  },
  'rejects a body with status 204': {
    scripts: [
      [`HTTP/1.1 204 None\r\n${ID}: id-1\r\nContent-Length: 3\r\n\r\none`],
      OK_2,
    ],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'discards a second answer that directly follows the first': {
    scripts: [[answer('id-1', 'one') + answer('id-1', 'bad')], OK_2],
    ends: ['200 one', '200 two'],
    connections: 2,
  },
  'does not accept an answer with stray bytes behind it': {
    scripts: [[`${answer('id-1', 'one')}x`], OK_2],
    ends: ['lost', '200 two'],
    connections: 2,
  },
  'closes the connection on stray bytes later than the answer': {
    scripts: [[answer('id-1', 'one'), {afterMs: 5}, 'x'], OK_2],
    ends: ['200 one', '200 two'],
    connections: 2,
  },
  'recognizes a late second answer by its request id': {
    scripts: [
      [answer('id-1', 'one')],
      [answer('id-1', 'bad'), {afterMs: 5}, answer('id-2', 'two')],
      [answer('id-3', 'three')],
    ],
    ends: ['200 one', '200 two', '200 three'],
    connections: 2,
  },
  'recognizes an earlier refusal by its request id': {
    scripts: [
      [REFUSAL_1],
      [REFUSAL_1, {afterMs: 5}, answer('id-2', 'two')],
      [answer('id-3', 'three')],
    ],
    ends: ['503 ', '200 two', '200 three'],
    connections: 2,
  },
  'does not take a refusal without an id on a reused connection for its own': {
    scripts: [
      [`${REFUSAL}${EMPTY}`],
      [`${REFUSAL}${EMPTY}`, {afterMs: 5}, answer('id-2', 'two')],
      [answer('id-3', 'three')],
    ],
    ends: ['503 ', 'lost', '200 three'],
    connections: 2,
  },
  'does not take an answer without an id on a reused connection for its own': {
    scripts: [
      [answer('id-1', 'one')],
      [`HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad`],
      [answer('id-3', 'three')],
    ],
    ends: ['200 one', 'lost', '200 three'],
    connections: 2,
  },
  'closes the connection when the server requests it': {
    scripts: [[answer('id-1', 'one', 'Connection: close\r\n')], OK_2],
    ends: ['200 one', '200 two'],
    connections: 2,
  },
  'does not reuse a connection when the server allows no idle time': {
    scripts: [[answer('id-1', 'one', 'Keep-Alive: timeout=0\r\n')], OK_2],
    ends: ['200 one', '200 two'],
    connections: 2,
  },
};

describe('ServerPool', () => {
  for (const [name, {scripts, ends, connections}] of Object.entries(CASES)) {
    it(name, async () => {
      expect(await runScripts(scripts)).to.deep.equal({ends, connections});
    });
  }

  it('reports a request that was not sent', async () => {
    const server = new ScriptedServer([]);
    const port = await server.listen();
    server.close();
    const pool = createPool(port);
    const end = await new Promise<ExchangeEnd>(resolve => {
      pool.run(request('id-1'), true, resolve);
    });
    expect(end.kind).to.equal('not-sent');
  });

  // Guards against a connect timeout after the event loop was blocked: timers
  // run before the sockets are read.
  it('uses a connection that opened while the event loop blocked', async () => {
    const server = new ScriptedServer([[answer('id-1', 'one')]]);
    const port = await server.listen();
    const pool = createPool(port);
    const ended = new Promise<ExchangeEnd>(resolve => {
      pool.run(request('id-1'), true, resolve);
    });
    // The socket connects in the next tick.
    process.nextTick(() => blockEventLoop(BLOCKED_MS));
    const end = await ended;
    pool.destroy('The test is over.');
    server.close();
    expect(textOf(end)).to.equal('200 one');
  });

  it('closes the connection of a cancelled request', async () => {
    const server = new ScriptedServer([[], OK_2]);
    const port = await server.listen();
    const pool = createPool(port);
    const settled: ExchangeEnd[] = [];
    const exchange = pool.run(request('id-1'), true, end => settled.push(end));
    await new Promise(resolve => setTimeout(resolve, 20));
    exchange.cancel();
    const end = await new Promise<ExchangeEnd>(resolve => {
      pool.run(request('id-2'), true, resolve);
    });
    pool.destroy('The test is over.');
    server.close();
    expect(textOf(end)).to.equal('200 two');
    expect(settled).to.deep.equal([]);
    expect(server.connections).to.equal(2);
  });
});
