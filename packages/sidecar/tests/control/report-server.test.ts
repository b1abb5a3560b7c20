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

describe('ReportServer', () => {
  const received: CurrentServer[] = [];
  let server: ReportServer;
  let socket: Socket;

  beforeEach(async () => {
    server = new ReportServer({
      listen: {address: '127.0.0.1', port: 0},
      clock: new ManualClock(1_000),
      logger: bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1}),
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
});
