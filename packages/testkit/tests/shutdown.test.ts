import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {expect} from 'chai';
import {request} from 'undici';

import {publishFiles} from '../src/bench/publish-files.js';
import {
  LogServer,
  startInProcessNode,
  whenAll,
  type InProcessNode,
} from '../src/index.js';

const FILE_SET = JSON.stringify({
  classes: [{name: 'interactive', priority: 'interactive'}],
  backendServerGroups: [{name: 'desk', maxSlots: 9, maxConnections: 130}],
  services: [{name: 'desk', backendServerGroup: 'desk', timeoutMs: 10000}],
  routes: [
    {
      name: 'desk',
      match: {pathPrefix: '/'},
      service: 'desk',
      class: 'interactive',
      repetition: 'at-most-once',
    },
  ],
});

/** A backend server that leaves each call open until the test answers it. */
class HoldingServer {
  readonly held: ServerResponse[] = [];
  private arrived: (() => void) | undefined;
  private readonly server: Server = createServer((req, res) => {
    this.held.push(res);
    this.arrived?.();
  });

  async start(announcePort: number): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    const res = await request(`http://127.0.0.1:${announcePort}/v1/announce`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        name: 'desk-1',
        group: 'kalayaan/desk',
        slots: 9,
        connections: 130,
        address: '127.0.0.1',
        port,
        state: 'ready',
        incarnation: 1,
      }),
    });
    expect(res.statusCode).to.equal(200);
    await res.body.dump();
  }

  whenHeld(): Promise<void> {
    return new Promise(resolve => {
      this.arrived = resolve;
    });
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }
}

describe('graceful shutdown', () => {
  let log: LogServer;
  let entry: InProcessNode;
  let beside: InProcessNode;
  let server: HoldingServer;

  beforeEach(async () => {
    log = new LogServer();
    const logUrl = await log.start();
    const limits = {drainSpreadMs: 0};
    const common = {region: 'ncr', logUrl, limits};
    beside = await startInProcessNode({
      ...common,
      nodeId: 'beside',
      dataCentre: 'ncr-a',
      seeds: [],
    });
    entry = await startInProcessNode({
      ...common,
      nodeId: 'entry',
      dataCentre: 'ncr-b',
      seeds: [`127.0.0.1:${beside.ports.mesh}`],
    });
    const ready = Promise.all([
      whenAll([entry], 'view-changed', ({members}) =>
        members.some(member => member.servers.length > 0),
      ),
      whenAll([entry, beside], 'config-in-force', () => true),
    ]);
    server = new HoldingServer();
    await server.start(beside.ports.announce);
    const files = [{file: 'desk.json', text: FILE_SET}];
    await publishFiles(logUrl, 'kalayaan', files);
    await ready;
  });

  afterEach(async () => {
    await server.stop();
    await entry.node.stop();
    await beside.node.stop();
    await log.stop();
  });

  const cases: {name: string; stopped: 'entry' | 'beside'}[] = [
    {name: 'the node beside the server', stopped: 'beside'},
    {name: 'the entry node', stopped: 'entry'},
  ];
  for (const {name, stopped} of cases) {
    it(`of ${name} interrupts no call in flight`, async () => {
      const held = server.whenHeld();
      const url = `http://127.0.0.1:${entry.ports.calls}/posting`;
      const answer = request(url, {method: 'POST', body: 'posting 1'});
      await held;
      const node = stopped === 'entry' ? entry.node : beside.node;
      const stop = node.stop();
      server.held[0]?.end('posted 1');
      const res = await answer;
      expect(res.statusCode).to.equal(200);
      expect(await res.body.text()).to.equal('posted 1');
      await stop;
      expect(server.held).to.have.length(1);
    });
  }

  it('refuses new calls as not run while calls in flight continue', async () => {
    const held = server.whenHeld();
    const url = `http://127.0.0.1:${entry.ports.calls}/posting`;
    const answer = request(url, {method: 'POST', body: 'posting 1'});
    await held;
    const stop = beside.node.stop();
    const refused = await request(url, {method: 'POST', body: 'posting 2'});
    expect(refused.statusCode).to.equal(503);
    expect(refused.headers['x-turmericmill-outcome']).to.equal('not-run');
    await refused.body.dump();
    server.held[0]?.end('posted 1');
    expect(await (await answer).body.text()).to.equal('posted 1');
    await stop;
    expect(server.held).to.have.length(1);
  });
});
