import type {ServerRecord} from '@turmericmill/wire';
import {expect} from 'chai';

import {SimulatedNetwork, type SimulatedNode} from './simulated-network.js';

const MEMBERS = 60;
const SETTLE_MS = 60_000;
/** Interval in ms at which a backend server reports to its node. */
const REPORT_INTERVAL_MS = 1_500;
const REPORTS = 6;
/** Time in ms in which a change reaches all nodes and is sent no more. */
const CHANGE_MS = 20_000;
const CHANGES = 10;
/** Time limit in ms for the simulation of both fleets; no target. */
const SIMULATION_TIMEOUT_MS = 60_000;
/** Growth of the bytes of a change for a fleet that is six times as large. */
const MAX_GROWTH = 2;

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

/** Bytes that one change of a server takes to other data centres. */
function remoteBytesOfChange(members: number): number {
  const network = new SimulatedNetwork(1);
  const nodes = network.startAll(members);
  announce(network, nodes);
  network.run(SETTLE_MS);
  const bytesOf = (changed: readonly SimulatedNode[]) => {
    network.sent = {local: 0, remote: 0};
    for (const node of changed) {
      const servers = [{...serverOf(node), state: 'draining' as const}];
      network.input(node, {type: 'servers-changed', servers});
    }
    network.run(CHANGE_MS);
    return network.sent.remote;
  };
  const unchangedBytes = bytesOf([]);
  const changed = nodes.slice(0, CHANGES);
  return (bytesOf(changed) - unchangedBytes) / changed.length;
}

describe('traffic of the membership', () => {
  it('to other data centres grows far less than the fleet with each change', () => {
    const growth = remoteBytesOfChange(180) / remoteBytesOfChange(30);
    expect(growth).to.be.below(MAX_GROWTH);
  }).timeout(SIMULATION_TIMEOUT_MS);

  it('is the same whether unchanged servers are reported again or not', () => {
    expect(bytesOfReports(true)).to.equal(bytesOfReports(false));
  });
});
