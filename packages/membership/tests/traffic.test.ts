import type {ServerRecord} from '@turmericmill/wire';
import {expect} from 'chai';

import {SimulatedNetwork, type SimulatedNode} from './simulated-network.js';

const MEMBERS = 60;
const SETTLE_MS = 15_000;
/** Interval in ms at which a backend server reports to its node. */
const REPORT_INTERVAL_MS = 1_500;
const REPORTS = 6;

function serverOf({identity}: SimulatedNode): ServerRecord {
  return {
    id: `server-${identity.id}`,
    group: 'desk',
    incarnation: 1,
    state: 'ready',
    slots: 9,
    connections: 64,
    readySinceMs: 1,
  };
}

function announce(network: SimulatedNetwork, nodes: SimulatedNode[]): void {
  for (const node of nodes) {
    const servers = [serverOf(node)];
    network.input(node, {type: 'servers-changed', servers});
  }
}

/** Bytes sent in the time of some reports; `repeat`: each is announced. */
function bytesOfReports(repeat: boolean): number {
  const network = new SimulatedNetwork(1);
  const nodes = network.startAll(MEMBERS);
  announce(network, nodes);
  network.run(SETTLE_MS);
  network.sent = {local: 0, remote: 0};
  for (let i = 0; i < REPORTS; i++) {
    if (repeat) announce(network, nodes);
    network.run(REPORT_INTERVAL_MS);
  }
  return network.sent.local + network.sent.remote;
}

describe('traffic of the membership', () => {
  it('is the same whether unchanged servers are reported again or not', () => {
    expect(bytesOfReports(true)).to.equal(bytesOfReports(false));
  });
});
