import {createServer, type AddressInfo, type Socket} from 'node:net';

import type {CurrentServer} from '@turmericmill/membership';
import {
  Bus,
  type CallFailure,
  type CallHead,
  type QuarantineTask,
} from '@turmericmill/node';
import {ReturnForecast} from '@turmericmill/routing';
import {ANSWER_PROOF_HEADER} from '@turmericmill/platform-adapter';
import {ByteBudget, blockEventLoop, SystemClock} from '@turmericmill/utils';
import bunyan from 'bunyan';
import {expect} from 'chai';

import type {AnswerHolder} from '../../src/answer-budget.js';
import {ServerSession} from '../../src/server/server-session.js';
import {TenantDirectory} from '../../src/tenants/tenant-directory.js';
import {FreeLink} from './free-link.js';

const DEADLINE_MS = 150;
/** Time in ms after the deadline within which a call has to end. */
const MAX_DELAY_MS = 500;
/** Interval in ms at which the server writes. */
const TRICKLE_MS = 5;
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Answers that keep growing slowly and never end. */
const TRICKLES: Record<string, {prefix: string; block: string}> = {
  nothing: {prefix: '', block: ''},
  'empty lines': {prefix: '', block: '\n'},
  'a status line': {prefix: 'HTTP/1.1 200 ', block: 'x'},
  'a header': {prefix: 'HTTP/1.1 200 OK\r\nX-Long: ', block: 'x'},
  'informational answers': {prefix: '', block: 'HTTP/1.1 103 x\r\n\r\n'},
  'a body with a length': {
    prefix: 'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n',
    block: 'x',
  },
  'a body without a length': {
    prefix: 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
    block: 'x',
  },
  chunks: {prefix: CHUNKED, block: '1\r\nx\r\n'},
  'a chunk size': {prefix: CHUNKED, block: '0'},
  trailers: {prefix: `${CHUNKED}0\r\n`, block: 'X: y\r\n'},
};

const COMPLETE_ANSWER = `HTTP/1.1 200 OK\r\n${ANSWER_PROOF_HEADER}: proof\r\nContent-Length: 0\r\n\r\n`;

const HEAD: CallHead = {
  serverId: 'i-1',
  serverIncarnation: 1,
  group: 'desk',
  method: 'GET',
  path: '/x',
  headers: [],
  customer: 'desk',
  class: 'r',
  priority: 'interactive',
  hops: 1,
  fingerprint: 'f',
  deadlineMs: 0,
};

const SERVER = {
  serverId: 'i-1',
  bornMs: 1,
  service: 'desk',
  slots: 1,
  state: 'ready',
  warmUntilMs: 0,
} as CurrentServer;

describe('ServerSession', () => {
  const sockets = new Set<Socket>();
  let trickle = TRICKLES['nothing'];
  /** Time in ms for which the event loop blocks after an answer. */
  let blockedMs = 0;
  let session: ServerSession;
  let bus: Bus;
  /** Whether the configuration confirms tenants. */
  let isFresh = true;
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', () => {
      const {prefix, block} = trickle ?? {prefix: '', block: ''};
      socket.write(prefix);
      const timer = setInterval(() => socket.write(block), TRICKLE_MS);
      socket.on('close', () => clearInterval(timer));
      blockEventLoop(blockedMs);
    });
  });

  beforeEach(async () => {
    blockedMs = 0;
    isFresh = true;
    bus = new Bus();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const quarantine = {
      statusOf: () => 'clear',
      answered: () => undefined,
      crashed: () => undefined,
    };
    session = new ServerSession(
      SERVER,
      {
        bus: undefined as never,
        clock: new SystemClock(),
        logger: bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1}),
        quarantine: quarantine as unknown as QuarantineTask,
        answerBudget: new ByteBudget<AnswerHolder>(1024 * 1024),
        returnForecast: new ReturnForecast(new FreeLink()),
        hasStartPace: false,
        expectedServiceMs: () => undefined,
        tenants: new TenantDirectory(bus, () => isFresh),
        address: () => ({address: '127.0.0.1', port}),
      },
      () => undefined,
    );
  });

  afterEach(async () => {
    session.retire();
    for (const socket of sockets) socket.destroy();
    await new Promise(resolve => server.close(resolve));
  });

  for (const [name, bytes] of Object.entries(TRICKLES)) {
    for (const method of ['GET', 'HEAD']) {
      it(`ends a call at its deadline during ${name}: ${method}`, async () => {
        trickle = bytes;
        const deadlineMs = new SystemClock().now() + DEADLINE_MS;
        const startedMs = performance.now();
        const failure = await new Promise<CallFailure>(resolve => {
          const head = {...HEAD, method, deadlineMs};
          const first = {chunk: new Uint8Array(), end: true};
          session.run(head, first, {
            credit: () => undefined,
            answerStart: () => undefined,
            answerData: () => undefined,
            answerEnd: () => undefined,
            failed: resolve,
          });
        });
        const elapsedMs = performance.now() - startedMs;
        expect(failure).to.include({outcome: 'unknown'});
        expect(elapsedMs).to.be.below(DEADLINE_MS + MAX_DELAY_MS);
        await new Promise(resolve => setTimeout(resolve, 20));
        expect(sockets.size).to.equal(0);
        expect(session.inFlight).to.equal(0);
      });
    }
  }

  // Guards against a missed deadline after the event loop was blocked: timers
  // run before the sockets are read.
  it('delivers an answer that arrived in time but was read late', async () => {
    trickle = {prefix: COMPLETE_ANSWER, block: ''};
    blockedMs = 2 * DEADLINE_MS;
    const deadlineMs = new SystemClock().now() + DEADLINE_MS;
    const end = await new Promise<number | string>(resolve => {
      const first = {chunk: new Uint8Array(), end: true};
      session.run({...HEAD, deadlineMs}, first, {
        credit: () => undefined,
        answerStart: resolve,
        answerData: () => undefined,
        answerEnd: () => undefined,
        failed: ({reason}) => resolve(reason),
      });
    });
    expect(end).to.equal(200);
    expect(session.inFlight).to.equal(0);
  });

  // Guards against a call that runs after its tenant was revoked while it waited.
  it('refuses a waiting call once its tenant cannot be confirmed', async () => {
    trickle = {prefix: COMPLETE_ANSWER, block: ''};
    const config = {version: 1, routes: [], tenants: [{name: 'north'}]};
    const tenants = config.tenants.map(tenant => ({...tenant, keyDigests: []}));
    bus.publish('mesh-config', {config: {...config, tenants} as never});
    const deadlineMs = new SystemClock().now() + 10 * DEADLINE_MS;
    const urgency = {
      rank: 1,
      targetRemainingMs: 5 * DEADLINE_MS,
      acceptsLate: false,
      repeatable: false,
    };
    const run = () =>
      new Promise<number | CallFailure>(resolve => {
        const first = {chunk: new Uint8Array(), end: true};
        const head = {...HEAD, deadlineMs, urgency, tenant: 'north'};
        session.run(head, first, {
          credit: () => undefined,
          answerStart: resolve,
          answerData: () => undefined,
          answerEnd: () => undefined,
          failed: resolve,
        });
      });
    const ends = [run(), run()];
    isFresh = false;
    const [first, waiting] = await Promise.all(ends);
    expect(first).to.equal(200);
    expect(waiting).to.include({outcome: 'not-run', reason: 'stale-config'});
    expect(session.inFlight).to.equal(0);
  });
});
