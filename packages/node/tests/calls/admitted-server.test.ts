import {EventEmitter, once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import {blockEventLoop, SystemClock} from '@turmericmill/utils';
import {expect} from 'chai';

import type {LocalServer} from '../../src/bus.js';
import {AdmittedServer} from '../../src/calls/admitted-server.js';
import type {CallEvents, CallHead} from '../../src/calls/call-leg.js';

/** Remaining time in ms of a call whose deadline passes during a standstill. */
const REMAINING_MS = 150;

/** Time in ms within which a call ends whose answer is none; far less than its time. */
const AT_ONCE_MS = 1_000;

const clock = new SystemClock();

class Recorder extends EventEmitter implements CallEvents {
  private chunks: Buffer[] = [];

  credit(): void {
    this.emit('credit');
  }

  answerStart(status: number): void {
    this.emit('start', status);
  }

  answerData(chunk: Uint8Array): void {
    this.chunks.push(Buffer.from(chunk));
  }

  answerEnd(): void {
    this.emit('ended', Buffer.concat(this.chunks).toString());
  }

  failed({outcome, reason}: {outcome: string; reason: string}): void {
    this.emit('ended', `${outcome} ${reason}`);
  }
}

function headOf(fields: Partial<CallHead> = {}): CallHead {
  return {
    serverId: 's1',
    serverIncarnation: 1,
    group: 'city/desk',
    method: 'POST',
    path: '/',
    headers: ['host', 'desk'],
    customer: 'c1',
    class: 'city/class/desk',
    priority: 'interactive',
    deadlineMs: clock.now() + 5_000,
    hops: 0,
    fingerprint: 'f1',
    ...fields,
  };
}

const BODY = 'hello world!';
const CHUNKS = `c;a=b\r\n${BODY}\r\n0\r\nX-T: d\r\n\r\n`;
const LENGTH = 'Content-Length: 12\r\n';
const CODING = 'Transfer-Encoding: chunked\r\n';
const CLOSE = 'Connection: close\r\n';

/** What follows the status line, and whether the server then closes. */
type Rest = readonly [rest: string, isClosed: boolean, method?: string];

const SPOILT: Record<string, Rest> = {
  'a byte less in the coding': [
    `Transfer-Encoding: chunke\r\n\r\n${CHUNKS}`,
    true,
  ],
  'a byte more in the coding, after a stated close': [
    `${CLOSE}Transfer-Encoding: chunkedd\r\n\r\n${CHUNKS}`,
    true,
  ],
  'an empty coding': [`Transfer-Encoding:\r\n\r\n${CHUNKS}`, true],
  'chunked not last': [
    `Transfer-Encoding: chunked, gzip\r\n\r\n${CHUNKS}`,
    true,
  ],
  'the name of the coding': [
    `Transfer-Encodin: chunked\r\n\r\n${CHUNKS}`,
    true,
  ],
  'the name of the coding, after a stated close': [
    `${CLOSE}Transfer-Encodin: chunked\r\n\r\n${CHUNKS}`,
    true,
  ],
  'a smaller length': [`Content-Length: 1\r\n\r\n${BODY}`, false],
  'a length of 0': [`Content-Length: 0\r\n\r\n${BODY}`, false],
  'a larger length': [`Content-Length: 120\r\n\r\n${BODY}`, true],
  'an empty line before the length': [
    `X-A: b\r\n\r\n${LENGTH}\r\n${BODY}`,
    true,
  ],
  'an empty line before the length, after a stated close': [
    `${CLOSE}\r\n${LENGTH}\r\n${BODY}`,
    true,
  ],
  'an empty line after the length': [
    `${LENGTH}\r\nX-A: b\r\n\r\n${BODY}`,
    false,
  ],
};

const SOUND: Record<string, Rest> = {
  'with a length': [`${LENGTH}\r\n${BODY}`, false],
  'in chunks': [`${CODING}\r\n${CHUNKS}`, false],
  'in chunks, in another case': [
    `TRANSFER-ENCODING: Chunked\r\n\r\n${CHUNKS}`,
    false,
  ],
  'that ends with the connection': [`${CLOSE}\r\n${BODY}`, true],
  'to HEAD': [`${LENGTH}\r\n`, false, 'HEAD'],
};

describe('AdmittedServer', () => {
  let server: Server;
  let target: AdmittedServer;
  const quarantined = new Set<string>();

  async function start(handler: RequestListener, slots = 1): Promise<void> {
    server = createServer(handler);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const announced: LocalServer = {
      id: 's1',
      group: 'city/desk',
      incarnation: 1,
      state: 'ready',
      slots,
      connections: 10,
      readySinceMs: 0,
      address: '127.0.0.1',
      port,
    };
    const bounds = {slots, connections: 10};
    target = new AdmittedServer(announced, {bounds, weightOf: () => 1}, clock, {
      statusOf: id => (quarantined.has(id) ? 'quarantined' : 'clear'),
      answered: () => undefined,
      crashed: () => undefined,
    });
  }

  function run(fields: Partial<CallHead> = {}, end = true) {
    const events = new Recorder();
    const ended = once(events, 'ended').then(([text]) => text as string);
    const body = {chunk: Buffer.from('a'), end};
    return {leg: target.run(headOf(fields), body, events), ended};
  }

  afterEach(async () => {
    await target.destroy();
    server.closeAllConnections();
    server.close();
  });

  it('buffers the body of a call that waits for a slot', async () => {
    const events = new EventEmitter();
    await start((req, res) => {
      if (req.url === '/first') events.once('go', () => res.end('first'));
      else req.pipe(res);
    });
    const first = run({path: '/first'});
    const second = run({}, false);
    second.leg.data(Buffer.from('bc'));
    second.leg.end([]);
    await once(server, 'request');
    events.emit('go');
    expect(await first.ended).to.equal('first');
    expect(await second.ended).to.equal('abc');
  });

  it('refuses a quarantined request as not run', async () => {
    await start((req, res) => res.end());
    quarantined.add('f2');
    const call = new Recorder();
    const ended = once(call, 'ended');
    const body = {chunk: Buffer.from(''), end: true};
    target.run(headOf({fingerprint: 'f2'}), body, call);
    expect(await ended).to.deep.equal(['not-run quarantined']);
  });

  it('aborts a cancelled call even if the server was retired', async () => {
    await start(() => undefined);
    const call = run();
    const [, res] = await once(server, 'request');
    const closed = once(res as EventEmitter, 'close');
    target.retire();
    call.leg.cancel();
    await closed;
  });

  it('on a crash fails waiting calls as not run and running ones as unknown', async () => {
    await start(() => undefined);
    const running = run();
    const waiting = run({fingerprint: 'f3'});
    await once(server, 'request');
    target.retire();
    expect(await waiting.ended).to.equal('not-run server-failed');
    server.closeAllConnections();
    expect(await running.ended).to.equal('unknown server-failed');
  });

  // After a standstill of the process, expired timers run before pending reads.
  // The call must not time out if its answer is already in the socket buffer.
  it('delivers an answer received before the deadline timer ran', async () => {
    await start((req, res) => {
      res.end('whole');
      process.nextTick(() => blockEventLoop(2 * REMAINING_MS));
    });
    const call = run({deadlineMs: clock.now() + REMAINING_MS});
    expect(await call.ended).to.equal('whole');
  });

  it('fails a call as not run if the server is unreachable', async () => {
    await start(() => undefined);
    server.close();
    expect(await run().ended).to.equal('not-run server-unreachable');
  });

  for (const status of ['000', '099', '600', '999']) {
    it(`fails at once when the server answers with status ${status}`, async () => {
      await start(req => {
        const lines = `HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`;
        req.socket.write(lines);
      });
      const startedMs = performance.now();
      expect(await run().ended).to.equal('unknown server-failed');
      expect(performance.now() - startedMs).to.be.below(AT_ONCE_MS);
    });
  }

  /** Answers with what follows the status line. */
  function answerWith(rest: string, isClosed: boolean): RequestListener {
    return ({socket}) => {
      socket.write(`HTTP/1.1 200 OK\r\n${rest}`, 'latin1');
      if (isClosed) socket.end();
    };
  }

  // The caller got a whole 200 with a body that was not the server's.
  for (const [name, [rest, isClosed]] of Object.entries(SPOILT)) {
    it(`fails at once when the head of the answer is spoilt: ${name}`, async () => {
      await start(answerWith(rest, isClosed));
      const startedMs = performance.now();
      expect(await run().ended).to.equal('unknown server-failed');
      expect(performance.now() - startedMs).to.be.below(AT_ONCE_MS);
    });
  }

  for (const [name, [rest, isClosed, method]] of Object.entries(SOUND)) {
    it(`takes a sound answer: ${name}`, async () => {
      await start(answerWith(rest, isClosed));
      const body = method === 'HEAD' ? '' : BODY;
      expect(await run({method: method ?? 'GET'}).ended).to.equal(body);
    });
  }
});
