import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {expect} from 'chai';

import {
  SidecarMesh,
  type SidecarHost,
} from '../../src/platform/sidecar-mesh.js';
import {SidecarProcess} from '../../src/platform/sidecar-process.js';
import {waitUntil} from '../../src/mesh/wait-until.js';

const CONFIG = JSON.stringify({
  version: 'r7',
  routes: {
    columns: [
      'name',
      'host',
      'path_prefix',
      'kind',
      'timeout',
      'target_latency',
      'priority',
      'service',
      'max_attempts',
      'traffic_split',
    ],
    rows: [
      ['r-d', 'shop.example', '/d/', 'safe', '9s', '1s', 1, 'desk', 1, null],
    ],
  },
  services: {
    columns: ['name', 'health_check_path', 'max_connections'],
    rows: [['desk', '/health', 100]],
  },
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 100_000,
    header_timeout: '3000ms',
    idle_timeout: '15000ms',
  },
});
const PLANS = [
  {dataCentre: 'a', service: 'desk'},
  {dataCentre: 'a', service: 'vault'},
];
/** Time in ms within which a mesh serves. */
const START_MS = 10_000;
/** Time in ms after SIGTERM from which the platform sends nothing more. */
const LEFT_MS = 2_500;

/** A caller's connection, with all that came over it. */
class Caller {
  text = '';
  private nextRequest = 0;

  private constructor(readonly socket: Socket) {
    socket.on('data', (chunk: Buffer) => (this.text += chunk.toString()));
    socket.on('error', () => undefined);
  }

  static async connect({settings}: SidecarHost): Promise<Caller> {
    const {address, port} = settings.listen.callers;
    const socket = connect(port, address);
    await once(socket, 'connect');
    return new Caller(socket);
  }

  /** Sends a request that may take `budgetMs`. */
  send(budgetMs: number): void {
    this.nextRequest += 1;
    this.socket.write(
      [
        'GET /d/x HTTP/1.1',
        'host: shop.example',
        `x-turmericmill-request-id: q-${this.nextRequest}`,
        `x-turmericmill-request-deadline: ${budgetMs}`,
        '\r\n',
      ].join('\r\n'),
    );
  }

  /** Statuses of all answers so far; a body may end without a line break. */
  get statuses(): number[] {
    const lines = this.text.matchAll(/HTTP\/1.1 (\d+) /g);
    return [...lines].map(([, status]) => Number(status));
  }
}

function isOk(status: number): boolean {
  return status === 200;
}

describe('planned shutdown of a sidecar', function () {
  this.timeout(30_000);
  let mesh: SidecarMesh;
  let child: SidecarProcess | undefined;

  async function start(workMs: number): Promise<SidecarHost[]> {
    mesh = new SidecarMesh(workMs);
    await mesh.start(PLANS);
    mesh.store.put('keyed.op', 'config', CONFIG);
    for (const {app} of mesh.hosts) await app.report('ready');
    for (const host of mesh.hosts) await served(host, workMs);
    return mesh.hosts;
  }

  async function served(host: SidecarHost, workMs: number): Promise<void> {
    const caller = await Caller.connect(host);
    const elapsedMs = await waitUntil(async () => {
      caller.send(workMs + 1_000);
      await sleep(workMs + 100);
      return caller.statuses.includes(200);
    }, START_MS);
    expect(elapsedMs, 'served').to.not.equal(undefined);
    caller.socket.destroy();
  }

  /** Has a process of its own take the place of the node. */
  async function launch(host: SidecarHost): Promise<SidecarProcess> {
    await host.node.abandon();
    child = new SidecarProcess(host.settings);
    const elapsedMs = await waitUntil(
      () => host.app.report('ready').then(isOk, () => false),
      START_MS,
    );
    expect(elapsedMs, 'started').to.not.equal(undefined);
    return child;
  }

  afterEach(async () => {
    await child?.kill();
    child = undefined;
    await mesh.stop();
  });

  it('is not ended by one idle moment', async () => {
    const [, entry] = await start(600);
    const callers: Caller[] = [];
    for (let i = 0; i < 3; i++) callers.push(await Caller.connect(entry!));
    const stopped = entry!.node.stop();
    await sleep(LEFT_MS - 100);
    // One request after the other, with a pause between them.
    for (const caller of callers) {
      caller.send(1_000);
      await sleep(700);
    }
    await stopped;
    const statuses = callers.map(caller => caller.statuses);
    expect(statuses).to.deep.equal([[200], [200], [200]]);
  });

  it('answers a request that is at work when the time is up', async () => {
    const [, entry] = await start(300);
    for (const {app} of mesh.hosts) app.workMs = 20_000;
    const caller = await Caller.connect(entry!);
    caller.send(9_000);
    await sleep(100);
    await entry!.node.stop();
    expect(caller.statuses).to.deep.equal([504]);
  });

  const signals: [NodeJS.Signals, NodeJS.Signals][] = [
    ['SIGTERM', 'SIGTERM'],
    ['SIGTERM', 'SIGINT'],
    ['SIGINT', 'SIGINT'],
  ];
  for (const [first, second] of signals) {
    it(`is not cut short by ${second} after ${first}`, async () => {
      const [, entry] = await start(300);
      const node = await launch(entry!);
      await served(entry!, 300);
      for (const {app} of mesh.hosts) app.workMs = 1_000;
      const caller = await Caller.connect(entry!);
      caller.send(3_000);
      await sleep(200);
      node.signal(first);
      await sleep(200);
      node.signal(second);
      expect(await node.ended).to.deep.equal({code: 0, signal: null});
      expect(caller.statuses).to.deep.equal([200]);
    });
  }

  it('ends its process after the last answer has left it', async () => {
    const [, entry] = await start(300);
    const node = await launch(entry!);
    await served(entry!, 300);
    for (const {app} of mesh.hosts) app.workMs = 20_000;
    const caller = await Caller.connect(entry!);
    caller.send(9_000);
    await sleep(200);
    const termMs = performance.now();
    node.signal('SIGTERM');
    expect(await node.ended).to.deep.equal({code: 0, signal: null});
    const graceMs = entry!.settings.shutdownGraceMs;
    expect(performance.now() - termMs).to.be.below(graceMs);
    expect(caller.statuses).to.deep.equal([504]);
  });
});
