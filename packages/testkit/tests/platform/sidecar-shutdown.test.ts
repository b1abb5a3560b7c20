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
    rows: [
      ['desk', '/health', 100],
      ['vault', '/health', 100],
    ],
  },
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 100_000,
    header_timeout: '3000ms',
    idle_timeout: '15000ms',
  },
});
const HOSTS = [
  {dataCentre: 'a', service: 'desk'},
  {dataCentre: 'a', service: 'vault'},
];
/** Time limit in ms for a started mesh to answer requests. */
const START_TIMEOUT_MS = 10_000;
/** Time in ms after SIGTERM from which the platform sends no more requests. */
const REQUESTS_END_MS = 2_500;

/** A caller's connection, with everything received on it. */
class Caller {
  text = '';
  private nextRequest = 0;

  private constructor(
    readonly socket: Socket,
    readonly name: string,
  ) {
    socket.on('data', (chunk: Buffer) => (this.text += chunk.toString()));
    socket.on('error', () => undefined);
  }

  static async connect({settings}: SidecarHost, name = 'q'): Promise<Caller> {
    const {address, port} = settings.listen.callers;
    const socket = connect(port, address);
    await once(socket, 'connect');
    return new Caller(socket, name);
  }

  /** Sends a request with a deadline in `budgetMs`. */
  send(budgetMs: number): void {
    this.nextRequest += 1;
    this.socket.write(
      [
        'GET /d/x HTTP/1.1',
        'host: shop.example',
        `x-turmericmill-request-id: ${this.name}-${this.nextRequest}`,
        `x-turmericmill-request-deadline: ${budgetMs}`,
        '\r\n',
      ].join('\r\n'),
    );
  }

  /** Statuses of all answers so far; one may follow a body on the same line. */
  get statuses(): number[] {
    const lines = this.text.matchAll(/HTTP\/1.1 (\d+) /g);
    return [...lines].map(([, status]) => Number(status));
  }
}

function isOk(status: number): boolean {
  return status === 200;
}

describe('planned shutdown of a Sidecar', function () {
  this.timeout(30_000);
  let mesh: SidecarMesh;
  let child: SidecarProcess | undefined;

  async function start(workMs: number): Promise<SidecarHost[]> {
    mesh = new SidecarMesh(workMs);
    await mesh.start(HOSTS);
    mesh.store.put('keyed.op', 'config', CONFIG);
    for (const {app} of mesh.hosts) await app.report('ready');
    for (const host of mesh.hosts) await waitUntilServed(host, workMs);
    return mesh.hosts;
  }

  async function waitUntilServed(
    host: SidecarHost,
    workMs: number,
  ): Promise<void> {
    const caller = await Caller.connect(host);
    const elapsedMs = await waitUntil(async () => {
      caller.send(workMs + 1_000);
      await sleep(workMs + 100);
      return caller.statuses.includes(200);
    }, START_TIMEOUT_MS);
    expect(elapsedMs, 'served').to.not.equal(undefined);
    caller.socket.destroy();
  }

  /** Replaces the node by a separate process. */
  async function replaceByProcess(host: SidecarHost): Promise<SidecarProcess> {
    await host.node.abandon();
    child = new SidecarProcess(host.settings);
    const elapsedMs = await waitUntil(
      () => host.app.report('ready').then(isOk, () => false),
      START_TIMEOUT_MS,
    );
    expect(elapsedMs, 'started').to.not.equal(undefined);
    return child;
  }

  afterEach(async () => {
    await child?.kill();
    child = undefined;
    await mesh.stop();
  });

  it('does not end at the first idle moment', async () => {
    const [, entry] = await start(600);
    const callers: Caller[] = [];
    for (let i = 0; i < 3; i++) callers.push(await Caller.connect(entry!));
    const stopped = entry!.node.stop();
    await sleep(REQUESTS_END_MS - 100);
    // One request after the other, with a pause between them.
    for (const caller of callers) {
      caller.send(1_000);
      await sleep(700);
    }
    await stopped;
    const statuses = callers.map(caller => caller.statuses);
    expect(statuses).to.deep.equal([[200], [200], [200]]);
  });

  it('answers a request that is still in flight when the time is up', async () => {
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
    it(`completes the request in flight when ${second} follows ${first}`, async () => {
      const [, entry] = await start(300);
      const node = await replaceByProcess(entry!);
      await waitUntilServed(entry!, 300);
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

  // Guards against requests that come late in the grace period, are passed on
  // and are cut at its end without an answer.
  const ROLES = {'takes the requests': 1, 'is beside the server': 0};
  for (const [role, index] of Object.entries(ROLES)) {
    it(`answers all that runs to the end of the grace if its host ${role}`, async () => {
      const [server, entry] = await start(300);
      const stopping = mesh.hosts[index]!;
      const node = await replaceByProcess(stopping);
      await waitUntilServed(entry!, 300);
      const {app} = server!;
      app.workMs = 900;
      const graceMs = stopping.settings.shutdownGraceMs;
      const callers: Caller[] = [];
      for (let atMs = 0; atMs < graceMs; atMs += 100) {
        callers.push(await Caller.connect(entry!, `at-${atMs}`));
      }
      node.signal('SIGTERM');
      for (const caller of callers) {
        if (!caller.socket.destroyed) caller.send(4_000);
        await sleep(100);
      }
      expect(await node.ended).to.deep.equal({code: 0, signal: null});
      await sleep(1_500);
      const ran = new Set(app.runs.map(({requestId}) => requestId));
      const cut = callers.filter(
        ({statuses, name}) => statuses.length === 0 && ran.has(`${name}-1`),
      );
      expect(cut.map(({name}) => name)).to.deep.equal([]);
      const answered = callers.filter(({statuses}) => statuses.includes(200));
      expect(answered.length).to.be.at.least(10);
    });
  }

  it('exits after the last answer has been sent', async () => {
    const [, entry] = await start(300);
    const node = await replaceByProcess(entry!);
    await waitUntilServed(entry!, 300);
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
