import {expect} from 'chai';

import {callClass, customer, group, put, service} from '../fixtures.js';
import {FakeMesh} from './fake-mesh.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

function startedMesh(seed: number, nodesPerDataCentre = 6): FakeMesh {
  const mesh = new FakeMesh({seed, nodesPerDataCentre});
  mesh.publish('platform', put(callClass('platform', 'c')));
  mesh.publish('a', put(group('a', 'g'), service('a', 's0')));
  mesh.run(5000);
  expect(mesh.laggards()).to.deep.equal([]);
  return mesh;
}

function restart(mesh: FakeMesh, ids: readonly string[]): void {
  mesh.kill(...ids);
  for (const id of ids) mesh.start(id);
  mesh.updateMembers();
}

function settledCount(mesh: FakeMesh): number {
  return mesh.ids.filter(id => mesh.agentOf(id)?.settled).length;
}

describe('ConfigAgent during an outage of the log', () => {
  for (const seed of SEEDS) {
    it(`does not let the only reader of a version serve an older one after a restart (seed ${seed})`, () => {
      const mesh = startedMesh(seed);
      const reader = mesh.relaysOf('dc0')[seed % 3]!;
      mesh.run(25_000);
      mesh.logReader = reader;
      mesh.publish('b', put(customer('b', 'x')));
      const {version} = mesh.expected();
      const isEnforced = () => mesh.enforcedAtMs.get(reader)!.has(version);
      expect(mesh.runUntil(isEnforced, 25_000)).to.equal(true);
      // The witnesses know of the version, but its pushes are lost: no other
      // node has its resources.
      mesh.log.isDown = true;
      mesh.dropInFlight();
      restart(mesh, [reader]);
      mesh.run(60_000);
      expect(mesh.violations).to.deep.equal([]);
      expect(mesh.agentOf(reader)!.settled).to.equal(false);
      mesh.heal();
      mesh.run(60_000);
      expect(mesh.laggards()).to.deep.equal([]);
      expect(mesh.violations).to.deep.equal([]);
    });
  }

  it('settles no node if all nodes restarted, until the log is back', () => {
    const mesh = startedMesh(11);
    mesh.log.isDown = true;
    restart(mesh, mesh.ids);
    mesh.run(120_000);
    expect(settledCount(mesh)).to.equal(0);
    mesh.log.isDown = false;
    mesh.run(60_000);
    expect(mesh.laggards()).to.deep.equal([]);
    expect(mesh.violations).to.deep.equal([]);
  });

  it('settles restarted nodes with the versions of other nodes', () => {
    const mesh = startedMesh(12);
    mesh.log.isDown = true;
    restart(mesh, mesh.idsOf('dc0').slice(1));
    mesh.run(20_000);
    expect(mesh.laggards()).to.deep.equal([]);
  });

  it('keeps the version in force when its records expire', () => {
    const mesh = startedMesh(13);
    mesh.log.isDown = true;
    mesh.run(60_000);
    mesh.log.trim('config', mesh.log.boundsOf('config').next);
    mesh.log.trim('snapshots', mesh.log.boundsOf('snapshots').next);
    mesh.log.isDown = false;
    mesh.run(20_000);
    mesh.publish('b', put(customer('b', 'x')));
    mesh.run(20_000);
    expect(mesh.laggards()).to.deep.equal([]);
    expect(mesh.log.boundsOf('snapshots').next).to.be.greaterThan(0);
    restart(mesh, mesh.ids);
    mesh.run(30_000);
    expect(mesh.laggards()).to.deep.equal([]);
    expect(mesh.violations).to.deep.equal([]);
  });

  for (const seed of SEEDS) {
    it(`bridges lost unread records identically on all nodes (seed ${seed})`, () => {
      const mesh = startedMesh(seed);
      const before = mesh.expected().version;
      mesh.log.isDown = true;
      mesh.publish('b', put(customer('b', 'lost')));
      mesh.run(30_000);
      mesh.log.trim('config', mesh.log.boundsOf('config').next);
      mesh.log.trim('snapshots', mesh.log.boundsOf('snapshots').next);
      mesh.log.isDown = false;
      mesh.run(60_000);
      expect(mesh.versionsInForce()).to.deep.equal([before]);
      expect(mesh.alarms).not.to.deep.equal([]);
      mesh.publish('b', put(customer('b', 'next')), before);
      mesh.run(30_000);
      const digests = mesh.ids.map(id => mesh.agentOf(id)?.version.digest);
      expect(new Set(digests).size).to.equal(1);
      expect(mesh.versionsInForce()).to.deep.equal([before + 2]);
      expect(mesh.violations).to.deep.equal([]);
    });
  }
});

describe('ConfigAgent at a cold start', () => {
  it('reads a snapshot and the records after it', () => {
    const mesh = startedMesh(21);
    mesh.run(30_000);
    mesh.log.trim('config', mesh.log.boundsOf('config').next);
    mesh.publish('b', put(customer('b', 'x')));
    mesh.run(1000);
    restart(mesh, mesh.ids);
    mesh.run(30_000);
    expect(mesh.laggards()).to.deep.equal([]);
    expect(mesh.alarms).to.deep.equal([]);
  });

  it('reads the log only on the relays when all nodes restart', () => {
    const mesh = startedMesh(22, 20);
    const before = mesh.log.readCount;
    restart(mesh, mesh.ids);
    mesh.run(5000);
    expect(mesh.laggards()).to.deep.equal([]);
    // Three relays in each of three data centres read up to six pages each.
    expect(mesh.log.readCount - before).to.be.at.most(9 * 6);
  });
});

describe('ConfigAgent on a single node', () => {
  it('reads the log after the fallback delay, and keeps reading it', () => {
    const mesh = new FakeMesh({
      seed: 23,
      dataCentres: 1,
      nodesPerDataCentre: 1,
    });
    mesh.publish('platform', put(callClass('platform', 'c')));
    mesh.run(5000);
    expect(mesh.log.readCount).to.equal(0);
    mesh.run(60_000);
    expect(mesh.laggards()).to.deep.equal([]);
    mesh.publish('b', put(customer('b', 'x')));
    mesh.run(1000);
    expect(mesh.laggards()).to.deep.equal([]);
  });
});

describe('ConfigAgent reads of the log', () => {
  it('do not grow with the number of nodes', () => {
    const counts = [6, 12, 24].map(nodesPerDataCentre => {
      const mesh = startedMesh(31, nodesPerDataCentre);
      const before = mesh.log.readCount;
      for (let i = 0; i < 5; i++) {
        mesh.publish('b', put(customer('b', `x${i}`)));
        mesh.run(1000);
      }
      return mesh.log.readCount - before;
    });
    expect(new Set(counts).size).to.equal(1);
  });
});

describe('ConfigAgent without publications', () => {
  for (const preference of ['convergence', 'bytes'] as const) {
    it(`reads the log only on relays, preference ${preference}`, () => {
      const mesh = new FakeMesh({seed: 32, nodesPerDataCentre: 40, preference});
      mesh.publish('platform', put(callClass('platform', 'c')));
      mesh.run(300_000);
      const readers = ['dc0', 'dc1', 'dc2'].flatMap(id => mesh.relaysOf(id));
      expect(readers.length).to.equal(9);
      // Nine relays poll for 20 s at a time, with up to five more reads each.
      expect(mesh.log.readCount).to.be.at.most(9 * (300 / 20 + 5));
    });
  }
});

describe('ConfigAgent without faults', () => {
  const preferences = [
    {preference: 'convergence' as const, targetMs: 1000},
    {preference: 'bytes' as const, targetMs: 4000},
  ];
  for (const {preference, targetMs} of preferences) {
    it(`distributes a version in time, preference ${preference}`, () => {
      const mesh = new FakeMesh({seed: 41, nodesPerDataCentre: 40, preference});
      mesh.publish('platform', put(callClass('platform', 'c')));
      mesh.run(20_000);
      const startMs = mesh.nowMs;
      mesh.publish('b', put(customer('b', 'x')));
      mesh.run(targetMs);
      expect(mesh.laggards()).to.deep.equal([]);
      const {version} = mesh.expected();
      const times = mesh.ids.map(id =>
        mesh.enforcedAtMs.get(id)!.get(version)!,
      );
      expect(Math.max(...times) - startMs).to.be.at.most(targetMs);
    });
  }
});
