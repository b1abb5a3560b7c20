import {expect} from 'chai';

import {
  claimWriterOf,
  gatewaysOf,
  relaysOf,
  seedsOf,
  type MembershipEffect,
} from '../src/index.js';
import {SimulatedNetwork, type SimulatedNode} from './simulated-network.js';

const RANDOM_SEEDS = [1, 2, 3];

/** Time in ms within which every member has the other region's summary. */
const REGION_TARGET_MS = 180_000;

function startTwoRegions(network: SimulatedNetwork): SimulatedNode[] {
  const nodes = Array.from({length: 24}, (unused, index) =>
    network.start(`node-${index}`, {region: `region-${index % 2}`}),
  );
  const endpoints = nodes.slice(0, 4).map(node => node.identity);
  for (const node of nodes) network.input(node, {type: 'seeds', endpoints});
  return nodes;
}

function countEffects(
  node: SimulatedNode,
  type: MembershipEffect['type'],
): number {
  return node.effects.filter(effect => effect.type === type).length;
}

describe('regions', () => {
  for (const seed of RANDOM_SEEDS) {
    it(`exchange summaries but no members (seed ${seed})`, () => {
      const network = new SimulatedNetwork(seed);
      const nodes = startTwoRegions(network);
      const informed = () =>
        nodes.every(node => node.membership.regions.all.size === 2);
      const ms = network.runUntil(informed, REGION_TARGET_MS);
      expect(ms).to.be.below(REGION_TARGET_MS);
      for (const {membership, identity} of nodes) {
        const members = membership.view.aliveMembers();
        expect(members).to.have.length(12);
        const regions = new Set(members.map(member => member.region));
        expect([...regions]).to.deep.equal([identity.region]);
      }
    });

    it(`keep the newest summary through a partition (seed ${seed})`, () => {
      const network = new SimulatedNetwork(seed);
      const nodes = startTwoRegions(network);
      network.run(REGION_TARGET_MS);
      const otherSummaryTimes = () =>
        nodes.map(
          ({membership, identity}) =>
            [...membership.regions.all.values()].find(
              summary => summary.region !== identity.region,
            )!.atMs,
        );
      const split = (from: {region: string}, to: {region: string}) =>
        from.region !== to.region;
      const before = otherSummaryTimes();
      network.losses.add(split);
      network.run(REGION_TARGET_MS);
      const during = otherSummaryTimes();
      network.losses.delete(split);
      network.run(REGION_TARGET_MS);
      otherSummaryTimes().forEach((atMs, index) => {
        expect(during[index]).to.be.at.least(before[index]!);
        expect(atMs).to.be.above(during[index]!);
      });
    });
  }
});

describe('Membership', () => {
  it('appends seeds only on nodes with the seed role', () => {
    const network = new SimulatedNetwork(1);
    const nodes = network.startAll(60, 3_000);
    for (const node of nodes) node.effects = [];
    network.run(60_000);
    const appends = nodes.map(node => countEffects(node, 'persist-seed'));
    expect(appends.filter(count => count > 0)).to.have.length.at.most(9);
    expect(Math.max(...appends)).to.equal(1);
  });

  it('reports once that a later process has the same id', () => {
    const network = new SimulatedNetwork(1);
    const [first, second] = network.startAll(5);
    network.run(10_000);
    const replacement = network.start(first!.identity.id);
    const endpoints = [second!.identity];
    network.input(replacement, {type: 'seeds', endpoints});
    network.run(10_000);
    expect(countEffects(first!, 'identity-taken')).to.equal(1);
  });

  it('ignores malformed updates', () => {
    const network = new SimulatedNetwork(1);
    const [first] = network.startAll(5);
    const before = first!.membership.view.members();
    const from = {address: '10.9.9.9', port: 1};
    const updates = [[], ['x'], ['node-1', NaN, 1], [1, 2, 3], 'x'] as never;
    const body = {from: 'node-1', updates};
    network.input(first!, {
      type: 'message',
      from,
      message: {type: 'memberGossip', body},
    });
    expect(first!.membership.view.members()).to.deep.equal(before);
  });
});

describe('roles', () => {
  it('are reassigned only from a removed member', () => {
    const network = new SimulatedNetwork(1);
    const nodes = network.startAll(30);
    const all = nodes[0]!.membership.view.aliveMembers();
    const relays = relaysOf(all, 'dc-1');
    const rest = all.filter(member => member.id !== relays[0]);
    expect(relaysOf(rest, 'dc-1').slice(0, 2)).to.deep.equal(relays.slice(1));
    for (let partition = 0; partition < 16; partition += 1) {
      const writer = claimWriterOf(all, partition);
      if (writer === relays[0]) continue;
      expect(claimWriterOf(rest, partition)).to.equal(writer);
    }
  });

  it('are not assigned when there are no members', () => {
    expect(claimWriterOf([], 0)).to.equal(undefined);
    expect(relaysOf([], 'dc-1')).to.deep.equal([]);
    expect(gatewaysOf([], 'region-1')).to.deep.equal([]);
    expect(seedsOf([], 'dc-1')).to.deep.equal([]);
  });
});
