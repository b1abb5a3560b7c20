import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

import type {CurrentServer} from '@turmericmill/membership';
import {ManualClock} from '@turmericmill/utils';
import bunyan from 'bunyan';
import {expect} from 'chai';

import {ReportServer} from '../../src/control/report-server.js';

/** Time in ms within which the connection of an endless report has to close. */
const CLOSE_TIMEOUT_MS = 4_000;
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

  async function report(change: object): Promise<number> {
    const url = `http://127.0.0.1:${server.port}/api/instances/i-1/heartbeat`;
    const body = JSON.stringify({...REPORT, ...change});
    const {status} = await fetch(url, {method: 'POST', body});
    return status;
  }

  beforeEach(async () => {
    received.length = 0;
    isKnown = true;
    server = new ReportServer({
      listen: {address: '127.0.0.1', port: 0},
      clock: new ManualClock(1_000),
      logger: bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1}),
      isServiceKnown: name => isKnown && name === 'desk',
      onServer: current => received.push(current),
      saveDeparted: () => Promise.resolve(),
    });
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

  it('takes the leaving of a server whose service was removed', async () => {
    server.restoreDeparted([]);
    await report({});
    isKnown = false;
    expect(await report({sequence: 2, state: 'draining'})).to.equal(200);
    expect(received.at(-1)).to.include({state: 'leaving'});
  });
});
