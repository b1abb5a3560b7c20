import type {ServerRecord} from '@turmericmill/wire';
import {expect} from 'chai';

import {SimulatedNetwork, type SimulatedNode} from './simulated-network.js';

const SEEDS = 40;
/** Time in ms over which the starts of the nodes are distributed. */
const START_SPREAD_MS = 200;
/** Time in ms in which a server reports to its node after the node's start. */
const REPORT_DELAY_MS = 150;
/** Time in ms in which all nodes have to know the servers of all others. */
const CATCH_UP_MS = 4_000;
const CASES = [
  {nodes: 11, lostShare: 0},
  {nodes: 11, lostShare: 0.05},
  {nodes: 60, lostShare: 0.05},
];

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

function knowsServerOf(node: SimulatedNode, other: SimulatedNode): boolean {
  const record = node.membership.view.member(other.identity.id);
  return record?.servers.length === 1;
}

/** Starts all nodes at once; returns the pairs that do not know each other. */
function unknownPairs(
  seed: number,
  count: number,
  lostShare: number,
): string[] {
  const network = new SimulatedNetwork(seed);
  const {random} = network;
  network.losses.add(() => random.next() < lostShare);
  const endpoints = Array.from({length: count}, (unused, index) => ({
    address: `10.0.${index >> 8}.${index & 255}`,
    port: 7000,
  }));
  const started: SimulatedNode[] = [];
  for (let i = 0; i < count; i++) {
    const node = network.start(`node-${i}`);
    started.push(node);
    network.input(node, {type: 'seeds', endpoints});
    network.run(Math.floor(START_SPREAD_MS / count));
  }
  network.run(REPORT_DELAY_MS);
  for (const node of started) {
    const servers = [serverOf(node)];
    network.input(node, {type: 'servers-changed', servers});
  }
  network.run(CATCH_UP_MS);
  return started.flatMap(node =>
    started
      .filter(other => other !== node && !knowsServerOf(node, other))
      .map(other => `${node.identity.id} lacks ${other.identity.id}`),
  );
}

describe('restart of all nodes at once', () => {
  for (const {nodes, lostShare} of CASES) {
    it(`lets ${nodes} nodes know all servers with ${lostShare * 100} % of the packets lost`, () => {
      const failed: string[] = [];
      for (let seed = 1; seed <= SEEDS; seed++) {
        const pairs = unknownPairs(seed, nodes, lostShare);
        if (pairs.length > 0) failed.push(`seed ${seed}: ${pairs.length}`);
      }
      expect(failed).to.deep.equal([]);
    }).timeout(60_000);
  }
});
