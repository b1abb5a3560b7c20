import {expect} from 'chai';

import {SidecarMetrics} from '../../src/observe/sidecar-metrics.js';

describe('SidecarMetrics', () => {
  it('counts closed connections by cause, once each', async () => {
    const closed = {silent: 2, goodbye: 0};
    const metrics = new SidecarMetrics({
      configVersion: () => 1,
      serverInFlight: () => 0,
      logLinesLeftOut: () => 0,
      logLinesDropped: () => 0,
      connectionsClosed: () => closed,
    });
    await metrics.page();
    closed.goodbye += 1;
    const name = 'turmericmill_peer_connections_closed_total';
    const page = await metrics.page();
    const lines = page.split('\n').filter(line => line.startsWith(`${name}{`));
    expect(lines).to.deep.equal([
      `${name}{cause="silent"} 2`,
      `${name}{cause="goodbye"} 1`,
    ]);
  });
});
