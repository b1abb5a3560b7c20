import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {CurrentServer} from '@turmericmill/membership';
import {Bus, type CallHead, type QuarantineTask} from '@turmericmill/node';
import {ReturnForecast} from '@turmericmill/routing';
import {ANSWER_PROOF_HEADER} from '@turmericmill/platform-adapter';
import {ByteBudget, SystemClock} from '@turmericmill/utils';
import type {RolloutPhaseName, RolloutState} from '@turmericmill/wire';
import bunyan from 'bunyan';
import {expect} from 'chai';

import type {AnswerHolder} from '../../src/answer-budget.js';
import {RolloutView} from '../../src/rollout/rollout-view.js';
import {ViewedServerRollout} from '../../src/rollout/server-rollout.js';
import {TenantDirectory} from '../../src/tenants/tenant-directory.js';
import {ServerRunner} from '../../src/server/server-runner.js';
import {FreeLink} from '../server/free-link.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});
const HEAD: CallHead = {
  serverId: 'i-1',
  serverIncarnation: 1,
  group: 'desk',
  method: 'GET',
  path: '/x',
  headers: ['host', 'desk.example'],
  customer: 'desk',
  class: 'read',
  priority: 'interactive',
  hops: 1,
  fingerprint: 'f',
  deadlineMs: 0,
};

/** The gate at the node of a server with one slot. */
describe('ServerRunner in a roll-out', () => {
  const clock = new SystemClock();
  let held: ServerResponse[];
  let server: Server;
  let view: RolloutView;
  let rollout: ViewedServerRollout;
  let runner: ServerRunner;
  let sequence: number;

  beforeEach(async () => {
    held = [];
    sequence = 0;
    server = createServer((req, res) => held.push(res));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    view = new RolloutView(clock, SILENT);
    rollout = new ViewedServerRollout({
      nodeId: 'n-1',
      incarnation: 1,
      view,
      clock,
      longestCallMs: () => 800,
    });
    const quarantine = {
      statusOf: () => 'clear',
      answered: () => undefined,
      crashed: () => undefined,
    };
    runner = new ServerRunner({
      bus: new Bus(),
      clock,
      logger: SILENT,
      quarantine: quarantine as unknown as QuarantineTask,
      answerBudget: new ByteBudget<AnswerHolder>(1024 * 1024),
      tenants: new TenantDirectory(new Bus(), () => true),
      returnForecast: new ReturnForecast(new FreeLink()),
      hasStartPace: false,
      expectedServiceMs: () => undefined,
      address: () => ({address: '127.0.0.1', port}),
      rollout,
    });
  });

  afterEach(() => {
    runner.close();
    server.closeAllConnections();
    server.close();
  });

  function start(version: string): void {
    const current: CurrentServer = {
      serverId: 'i-1',
      service: 'desk',
      version,
      slots: 1,
      bornMs: 1,
      sequence: 1,
      state: 'ready',
      warmUntilMs: 0,
    };
    runner.update(current);
  }

  function order(): void {
    const value = '{"service":"desk","target_version":"v2","duration":"12s"}';
    const record = {key: 'rollout/desk', value: Buffer.from(value), offset: 7};
    view.applyRecords([record]);
  }

  function enter(phase: RolloutPhaseName, share = 0.1): void {
    sequence += 1;
    const state: RolloutState = {
      service: 'desk',
      orderOffset: 7,
      targetVersion: 'v2',
      term: 1,
      sequence,
      phase,
      share,
      servers: [],
    };
    view.learnState(state, 'n-2');
    runner.applyRollout();
  }

  /** Resolves with the status of the answer or the reason of the failure. */
  function call(): Promise<number | string> {
    const head = {...HEAD, deadlineMs: clock.now() + 2_000};
    const first = {chunk: new Uint8Array(), end: true};
    return new Promise(resolve => {
      runner.run(head, first, {
        credit: () => undefined,
        answerStart: resolve,
        answerData: () => undefined,
        answerEnd: () => undefined,
        failed: ({outcome, reason}) => resolve(`${outcome} ${reason}`),
      });
    });
  }

  async function waitForRequest(): Promise<ServerResponse> {
    const untilMs = clock.now() + 2_000;
    while (clock.now() < untilMs) {
      const res = held.shift();
      if (res) return res;
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    throw new Error('no request has arrived');
  }

  function answer(res: ServerResponse): void {
    res.setHeader(ANSWER_PROOF_HEADER, 'proof').end('on');
  }

  // An old server is stopped at `completed`, whatever runs there.
  it('closes an old server once what runs has ended, and reopens it', async () => {
    view.applyRecords([]);
    start('v1');
    order();
    enter('trial');
    const running = call();
    const res = await waitForRequest();
    const queued = call();
    enter('closing');
    expect(await queued).to.equal('not-run draining');
    expect(await call()).to.equal('not-run draining');
    expect(runner.current?.isClosed).to.equal(false);
    answer(res);
    expect(await running).to.equal(200);
    expect(runner.current?.isClosed).to.equal(true);
    enter('rolled-back', 0);
    const again = call();
    answer(await waitForRequest());
    expect(await again).to.equal(200);
    expect(runner.current?.isClosed).to.equal(false);
  });

  const REFUSED: [string, () => void][] = [
    ['a node that does not know which orders exist', () => start('v1')],
    [
      'a node that has restarted and knows no state',
      () => {
        order();
        start('v1');
      },
    ],
    [
      'a new server without a share',
      () => {
        view.applyRecords([]);
        start('v2');
        order();
        enter('trial', 0);
      },
    ],
    [
      'an old server that starts while its service is closing',
      () => {
        view.applyRecords([]);
        order();
        enter('closing');
        start('v1');
      },
    ],
    [
      'a new server after a roll-back',
      () => {
        view.applyRecords([]);
        start('v2');
        order();
        enter('trial');
        enter('rolled-back', 0);
      },
    ],
  ];
  for (const [name, prepare] of REFUSED) {
    it(`refuses calls, not run, at ${name}`, async () => {
      prepare();
      expect(await call()).to.equal('not-run draining');
      expect(held).to.deep.equal([]);
    });
  }

  const ENDS: [string, (res: ServerResponse) => void, object][] = [
    ['an answer', answer, {answered: 1}],
    ['an error', res => res.writeHead(500).end(), {failed: 1}],
    ['an answer without proof', res => res.end('on'), {unproven: 1}],
    ['a lost connection', res => res.destroy(), {unproven: 1}],
    ['another server', res => res.writeHead(421).end(), {refused: 1}],
  ];
  for (const [name, reply, expected] of ENDS) {
    it(`counts ${name} as evidence on the new version`, async () => {
      view.applyRecords([]);
      start('v2');
      order();
      enter('trial');
      const end = call();
      reply(await waitForRequest());
      await end;
      const [row] = rollout.report(view.of('desk')!)?.rows ?? [];
      const counts = {side: 'new', class: 'read', requests: 1, ...expected};
      expect(row).to.include(counts);
    });
  }

  it('counts nothing without an order', async () => {
    view.applyRecords([]);
    start('v1');
    const end = call();
    answer(await waitForRequest());
    await end;
    order();
    expect(rollout.report(view.of('desk')!)).to.equal(undefined);
  });
});
