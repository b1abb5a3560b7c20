import {expect} from 'chai';

import type {MemberStatus, ServerRecord} from '@turmericmill/wire';

import {SimulatedNetwork, type SimulatedNode} from './simulated-network.js';

const SEEDS = [1, 2, 3, 4, 5];

/** Cases of more members than this run with the first two seeds alone. */
const LARGE_CASE_MEMBERS = 100;

/** A dead server gets no new work after this time in ms. */
const DEAD_TARGET_MS = 3_000;

/** Time in ms that a message waits on a full link: 600 KB at 4.8 Mbit/s. */
const QUEUE_MS = 1_000;

/** A drained server gets no new work after this time in ms. */
const DRAIN_TARGET_MS = 2_000;

/** Time in ms in which views agree again after a split or a herd's return. */
const REPAIR_TARGET_MS = 30_000;

const GROUP = 'team/api';

const SERVER: ServerRecord = {
  id: 'server-1',
  group: GROUP,
  incarnation: 1,
  state: 'ready',
  slots: 10,
  connections: 100,
  readySinceMs: 1,
};

function statusAt(
  observer: SimulatedNode,
  id: string,
): MemberStatus | undefined {
  return observer.membership.view.member(id)?.status;
}

function running(fabric: SimulatedNetwork): SimulatedNode[] {
  return fabric.nodes.filter(node => !node.stopped);
}

function suspicionsOf(nodes: SimulatedNode[]): number {
  return nodes.reduce(
    (sum, node) => sum + node.membership.counters.suspicionsRaised,
    0,
  );
}

function condemnedBy(nodes: SimulatedNode[]): number {
  return nodes.reduce(
    (sum, node) => sum + node.membership.counters.condemned,
    0,
  );
}

/** True when all nodes see exactly each other alive. */
function agree(nodes: SimulatedNode[]): boolean {
  return nodes.every(
    node => node.membership.view.aliveMembers().length === nodes.length,
  );
}

/** True when no node lists the victim's server as ready. */
function isAvoided(nodes: SimulatedNode[], victim: SimulatedNode): boolean {
  const {id} = victim.identity;
  return nodes.every(node =>
    node.membership.view
      .readyServersOf(GROUP)
      .every(entry => entry.nodeId !== id),
  );
}

function giveServers(fabric: SimulatedNetwork, nodes: SimulatedNode[]): void {
  for (const node of nodes) {
    fabric.input(node, {type: 'servers-changed', servers: [SERVER]});
  }
  fabric.run(2_000);
}

interface FailureCase {
  name: string;
  members: number;
  check: (fabric: SimulatedNetwork, nodes: SimulatedNode[]) => void;
}

const CASES: FailureCase[] = [
  {
    name: 'a dead host gets no new work within the target',
    members: 200,
    check: (fabric, nodes) => {
      giveServers(fabric, nodes);
      const victim = nodes[20]!;
      victim.stopped = true;
      const others = running(fabric);
      const ms = fabric.runUntil(() => isAvoided(others, victim), 10_000);
      expect(ms).to.be.at.most(DEAD_TARGET_MS);
      expect(condemnedBy(others)).to.be.at.least(1);
    },
  },
  {
    name: 'a host behind a full uplink keeps its work',
    members: 50,
    check: (fabric, nodes) => {
      giveServers(fabric, nodes);
      const congested = nodes[20]!;
      congested.uplinkQueueMs = QUEUE_MS;
      const others = nodes.filter(node => node !== congested);
      const ms = fabric.runUntil(() => isAvoided(others, congested), 20_000);
      expect(ms).to.equal(20_000);
      expect(condemnedBy(nodes)).to.equal(0);
    },
  },
  {
    name: 'hosts whose uplinks fill up keep their work',
    members: 50,
    check: (fabric, nodes) => {
      const congested = nodes.filter((unused, index) => index % 6 === 4);
      for (let seconds = 0; seconds < 20; seconds += 1) {
        const uplinkQueueMs = Math.min(700, 100 * seconds);
        for (const node of congested) node.uplinkQueueMs = uplinkQueueMs;
        fabric.run(1_000);
      }
      expect(condemnedBy(nodes)).to.equal(0);
    },
  },
  {
    name: 'a host that dies behind a full uplink gets no new work for long',
    members: 50,
    check: (fabric, nodes) => {
      giveServers(fabric, nodes);
      const victim = nodes[20]!;
      victim.uplinkQueueMs = QUEUE_MS;
      fabric.run(10_000);
      victim.stopped = true;
      const others = running(fabric);
      const ms = fabric.runUntil(() => isAvoided(others, victim), 10_000);
      // The queue is seen as life, as a round trip and as time to refute.
      expect(ms).to.be.at.most(DEAD_TARGET_MS + 3 * QUEUE_MS);
    },
  },
  {
    name: 'a drained server gets no new work within the target',
    members: 100,
    check: (fabric, nodes) => {
      giveServers(fabric, nodes);
      const servers: ServerRecord[] = [{...SERVER, state: 'draining'}];
      fabric.input(nodes[9]!, {type: 'servers-changed', servers});
      const ms = fabric.runUntil(() => isAvoided(nodes, nodes[9]!), 10_000);
      expect(ms).to.be.at.most(DRAIN_TARGET_MS);
    },
  },
  {
    name: 'a node that leaves is left, not dead',
    members: 30,
    check: (fabric, nodes) => {
      fabric.input(nodes[9]!, {type: 'leave'});
      nodes[9]!.stopped = true;
      fabric.run(4_000);
      const word = running(fabric).map(node => statusAt(node, 'node-9'));
      expect(new Set(word)).to.deep.equal(new Set(['left']));
    },
  },
  {
    name: 'quiet members accuse nobody, also when one datagram in 30 is lost',
    members: 100,
    check: (fabric, nodes) => {
      fabric.losses.add(() => fabric.random.next() < 1 / 30);
      fabric.run(20_000);
      expect(condemnedBy(nodes)).to.equal(0);
      expect(agree(nodes)).to.equal(true);
    },
  },
  {
    name: 'a path lost in one direction condemns neither end',
    members: 50,
    check: (fabric, nodes) => {
      const a = nodes[4]!.identity.id;
      const b = nodes[5]!.identity.id;
      fabric.losses.add((from, to) => from.id === a && to.id === b);
      fabric.run(15_000);
      expect(condemnedBy(nodes)).to.equal(0);
    },
  },
  {
    name: 'a node that hears nobody condemns nobody for the others',
    members: 50,
    check: (fabric, nodes) => {
      const deaf = nodes[4]!;
      fabric.losses.add((from, to) => to.id === deaf.identity.id);
      fabric.run(30_000);
      const others = nodes.filter(node => node !== deaf);
      for (const node of others) {
        expect(statusAt(node, deaf.identity.id)).to.equal('dead');
        const seen = node.membership.view.aliveMembers().length;
        expect(seen).to.equal(others.length);
      }
    },
  },
  {
    name: 'a node that hears nobody keeps all members for a while',
    members: 12,
    check: (fabric, nodes) => {
      const lone = nodes[4]!;
      const {id} = lone.identity;
      fabric.losses.add((from, to) => from.id === id || to.id === id);
      fabric.run(4_000);
      const seen = lone.membership.view.aliveMembers();
      expect(seen).to.have.length.at.least(nodes.length - 2);
      expect(condemnedBy([lone])).to.equal(0);
      fabric.run(60_000);
      expect(lone.membership.view.aliveMembers()).to.have.length(1);
    },
  },
  {
    name: 'a node whose connections go silent leaves, and returns with them',
    members: 50,
    check: (fabric, nodes) => {
      const silent = nodes[4]!.identity.id;
      const rule = (from: {id: string}, to: {id: string}) =>
        from.id === silent || to.id === silent;
      fabric.losses.add(rule);
      fabric.run(5_000);
      expect(statusAt(nodes[0]!, silent)).to.equal('dead');
      fabric.losses.delete(rule);
      const ms = fabric.runUntil(() => agree(nodes), REPAIR_TARGET_MS);
      expect(ms).to.be.below(REPAIR_TARGET_MS);
    },
  },
  {
    name: 'a paused node wakes without condemning anybody',
    members: 50,
    check: (fabric, nodes) => {
      const paused = nodes[7]!;
      paused.pausedUntilMs = fabric.clock.now() + 20_000;
      fabric.run(20_000);
      expect(statusAt(nodes[0]!, 'node-7')).to.equal('dead');
      fabric.run(10_000);
      expect(paused.membership.counters.condemned).to.equal(0);
      expect(agree(nodes)).to.equal(true);
    },
  },
  {
    name: 'a node that is paused for half of the time accuses next to nobody',
    members: 50,
    check: (fabric, nodes) => {
      const slow = nodes[7]!;
      for (let round = 0; round < 10; round += 1) {
        slow.pausedUntilMs = fabric.clock.now() + 1_000;
        fabric.run(2_000);
      }
      expect(slow.membership.counters.condemned).to.equal(0);
      expect(slow.membership.counters.suspicionsRaised).to.be.at.most(1);
    },
  },
  {
    name: 'a data centre dies and returns',
    members: 150,
    check: (fabric, nodes) => {
      const herd = nodes.filter(node => node.identity.dataCentre === 'dc-1');
      for (const node of herd) node.stopped = true;
      const rest = running(fabric);
      const ms = fabric.runUntil(() => agree(rest), 20_000);
      expect(ms).to.be.at.most(DEAD_TARGET_MS);
      const seeds = rest.slice(0, 3).map(node => node.identity);
      for (const node of herd) fabric.restart(node, seeds);
      const all = running(fabric);
      const backMs = fabric.runUntil(() => agree(all), REPAIR_TARGET_MS);
      expect(backMs).to.be.below(REPAIR_TARGET_MS);
      expect(suspicionsOf(all)).to.be.at.most(3 * herd.length);
    },
  },
  {
    name: 'two halves that lose each other merge again',
    members: 60,
    check: (fabric, nodes) => {
      const split = (from: {dataCentre: string}, to: {dataCentre: string}) =>
        (from.dataCentre === 'dc-0') !== (to.dataCentre === 'dc-0');
      fabric.losses.add(split);
      fabric.run(60_000);
      const seen = nodes[0]!.membership.view.aliveMembers();
      expect(new Set(seen.map(member => member.dataCentre))).to.deep.equal(
        new Set(['dc-0']),
      );
      fabric.losses.delete(split);
      const ms = fabric.runUntil(() => agree(nodes), REPAIR_TARGET_MS);
      expect(ms).to.be.below(REPAIR_TARGET_MS);
    },
  },
  {
    name: 'a new host at the address of a live one takes its place',
    members: 30,
    check: (fabric, nodes) => {
      const old = nodes[8]!;
      const {address, port} = old.identity;
      old.stopped = true;
      const next = fabric.start('node-new', {address, port});
      const endpoints = nodes.slice(0, 3).map(node => node.identity);
      fabric.input(next, {type: 'seeds', endpoints});
      fabric.run(DEAD_TARGET_MS);
      for (const node of running(fabric)) {
        expect(statusAt(node, 'node-8')).not.to.equal('alive');
        expect(statusAt(node, 'node-new')).to.equal('alive');
      }
    },
  },
  {
    name: 'a node that keeps restarting is damped, then trusted again',
    members: 30,
    check: (fabric, nodes) => {
      giveServers(fabric, nodes);
      const seeds = nodes.slice(0, 3).map(node => node.identity);
      let flapping = nodes[8]!;
      for (let round = 0; round < 6; round += 1) {
        flapping = fabric.restart(flapping, seeds);
        const servers = [SERVER];
        fabric.input(flapping, {type: 'servers-changed', servers});
        fabric.run(3_000);
      }
      const standing = () =>
        nodes[0]!.membership.view
          .readyServersOf(GROUP)
          .find(entry => entry.nodeId === 'node-8')?.standing;
      expect(standing()).to.equal('damped');
      fabric.run(90_000);
      expect(standing()).to.equal('usable');
    },
  },
  {
    name: 'a host dies while another is paused and a path is lost',
    members: 60,
    check: (fabric, nodes) => {
      const paused = nodes[7]!;
      paused.pausedUntilMs = fabric.clock.now() + 6_000;
      fabric.losses.add(
        (from, to) => from.id === 'node-10' && to.id === 'node-11',
      );
      nodes[20]!.stopped = true;
      const others = running(fabric).filter(node => node !== paused);
      const ms = fabric.runUntil(
        () => others.every(node => statusAt(node, 'node-20') === 'dead'),
        10_000,
      );
      expect(ms).to.be.at.most(DEAD_TARGET_MS);
      fabric.run(20_000);
      expect(agree(running(fabric))).to.equal(true);
    },
  },
];

describe('membership under failures', () => {
  for (const {name, members, check} of CASES) {
    const large = members > LARGE_CASE_MEMBERS;
    for (const seed of large ? SEEDS.slice(0, 2) : SEEDS) {
      it(`${name} (seed ${seed})`, () => {
        const fabric = new SimulatedNetwork(seed);
        check(fabric, fabric.startAll(members));
      });
    }
  }
});
