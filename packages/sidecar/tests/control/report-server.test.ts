import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import type {CurrentServer} from '@turmericmill/membership';
import {ManualClock} from '@turmericmill/utils';
import bunyan from 'bunyan';
import {expect} from 'chai';

import {ReportServer} from '../../src/control/report-server.js';

/** Time in ms within which the connection of an endless report has to close. */
const CLOSE_TIMEOUT_MS = 4_000;
/** Time in ms in which the health of a server is checked a few times. */
const CHECKS_MS = 700;
const HEAD =
  'POST /api/instances/i-1/heartbeat HTTP/1.1\r\nhost: x\r\nTransfer-Encoding: chunked\r\n\r\n';
const BLOCK = `400\r\n${'x'.repeat(1024)}\r\n`;

const REPORT = {
  service: 'desk',
  address: '10.1.0.9:8080',
  zone: 'z-1',
  version: 'v1',
  slots: 9,
  state: 'ready',
  ['warmup_left']: '0ms',
  sequence: 1,
  born: 500,
};

/** A report of another writer about the server of this host. */
const ODD_REPORTS: Record<string, object> = {
  'a service that the configuration does not name': {service: 'none'},
  'a port out of range': {address: '10.1.0.9:70000'},
  'a sequence that is too large': {sequence: 2 ** 52},
  'slots as a nested list': {slots: [[[[9]]]]},
  'no warm-up': {['warmup_left']: undefined},
};

describe('ReportServer', () => {
  const received: CurrentServer[] = [];
  let server: ReportServer;
  let socket: Socket;
  let isKnown = true;
  let clock: ManualClock;
  /** The server's answers to health checks, in order; the last one repeats. */
  let health: (boolean | Error)[];
  let checked: CurrentServer[];

  async function report(change: object): Promise<number> {
    const url = `http://127.0.0.1:${server.port}/api/instances/i-1/heartbeat`;
    const body = JSON.stringify({...REPORT, ...change});
    const {status} = await fetch(url, {method: 'POST', body});
    return status;
  }

  async function deregister(): Promise<number> {
    const url = `http://127.0.0.1:${server.port}/api/instances/i-1/deregister`;
    const body = JSON.stringify({born: REPORT.born});
    const {status} = await fetch(url, {method: 'POST', body});
    return status;
  }

  function create(isFirstStart: boolean): ReportServer {
    return new ReportServer({
      listen: {address: '127.0.0.1', port: 0},
      clock,
      logger: bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1}),
      isFirstStart,
      isServiceKnown: name => isKnown && name === 'desk',
      onServer: current => received.push(current),
      isHealthy: current => {
        checked.push(current);
        const answer = health.length > 1 ? health.shift() : health[0];
        return answer instanceof Error
          ? Promise.reject(answer)
          : Promise.resolve(answer === true);
      },
      saveDeparted: () => Promise.resolve(true),
    });
  }

  /** Replaces the server by that of a node that was restarted. */
  async function restart(): Promise<void> {
    await server.stop();
    received.length = 0;
    server = create(false);
    await server.start();
    server.restoreDeparted([]);
  }

  beforeEach(async () => {
    received.length = 0;
    isKnown = true;
    clock = new ManualClock(1_000);
    health = [false];
    checked = [];
    server = create(true);
    await server.start();
    socket = connect(server.port, '127.0.0.1');
    socket.on('error', () => socket.destroy());
    await once(socket, 'connect');
  });

  afterEach(async () => {
    socket.destroy();
    await server.stop();
  });

  it('closes the connection of an endless report', async () => {
    socket.resume();
    socket.write(HEAD);
    const timer = setInterval(() => socket.write(BLOCK), 10);
    const startedMs = performance.now();
    await once(socket, 'close');
    clearInterval(timer);
    expect(performance.now() - startedMs).to.be.below(CLOSE_TIMEOUT_MS);
    expect(received).to.deep.equal([]);
  });

  for (const [name, change] of Object.entries(ODD_REPORTS)) {
    it(`keeps its server after a report with ${name}`, async () => {
      server.restoreDeparted([]);
      const statuses = [
        await report({}),
        await report({sequence: 2, ...change}),
        await report({born: 900, sequence: 1, ...change}),
        await report({sequence: 3}),
      ];
      expect(statuses).to.deep.equal([200, 400, 400, 200]);
      const last = received.at(-1);
      expect(last).to.include({service: 'desk', bornMs: 500, sequence: 3});
    });
  }

  // A departure that the process before acknowledged may be stored nowhere.
  it('does not use a server on the word of a late heartbeat after a restart', async () => {
    await restart();
    expect(await report({sequence: 9})).to.equal(200);
    await sleep(CHECKS_MS);
    expect(checked.length).to.be.within(2, 4);
    expect(received).to.deep.equal([]);
  });

  it('uses a server after a restart once it states that it is healthy', async () => {
    await restart();
    health = [false, true];
    expect(await report({sequence: 9})).to.equal(200);
    await sleep(CHECKS_MS);
    expect(checked).to.have.length(2);
    expect(received).to.have.length(1);
    expect(received[0]).to.include({serverId: 'i-1', state: 'ready'});
  });

  it('uses a server on a heartbeat too late to be from before the restart', async () => {
    await restart();
    await report({sequence: 9});
    clock.advance(10_000);
    await report({sequence: 10});
    expect(received).to.have.length(1);
  });

  it('does not use a server that leaves during the check of its health', async () => {
    await restart();
    health = [false, true];
    await report({sequence: 9});
    expect(await deregister()).to.equal(200);
    await sleep(CHECKS_MS);
    expect(received.filter(({state}) => state === 'ready')).to.deep.equal([]);
  });

  it('checks the health of a new start of the server separately', async () => {
    await restart();
    health = [true, false];
    await report({sequence: 9});
    await sleep(50);
    await report({born: 900, sequence: 1});
    await sleep(50);
    expect(received.at(-1)).to.include({bornMs: 500});
    health = [true];
    await sleep(CHECKS_MS);
    expect(received.at(-1)).to.include({bornMs: 900});
  });

  // The session of the start before would go on sending calls under its id.
  it('passes on the leaving of a start whose health is not known', async () => {
    await restart();
    health = [true, false];
    await report({sequence: 9});
    await sleep(50);
    await report({born: 900, sequence: 1});
    await report({born: 900, sequence: 2, state: 'draining'});
    expect(received.at(-1)).to.include({bornMs: 900, state: 'leaving'});
  });

  it('checks again after a check that failed with an exception', async () => {
    await restart();
    health = [new Error('no socket'), true];
    await report({sequence: 9});
    await sleep(50);
    await report({sequence: 10});
    await sleep(50);
    expect(received).to.have.length(1);
  });

  it('does not check the health of a server at the first start', async () => {
    server.restoreDeparted([]);
    await report({});
    expect(received).to.have.length(1);
    expect(checked).to.deep.equal([]);
  });

  it('takes the leaving of a server whose service was removed', async () => {
    server.restoreDeparted([]);
    await report({});
    isKnown = false;
    expect(await report({sequence: 2, state: 'draining'})).to.equal(200);
    expect(received.at(-1)).to.include({state: 'leaving'});
  });
});
