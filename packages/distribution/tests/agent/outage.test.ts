import {expect} from 'chai';

import {callClass, customer, group, put, service} from '../fixtures.js';
import {FakeMesh} from './fake-mesh.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

function startedMesh(seed: number, nodesEach = 6): FakeMesh {
  const mesh = new FakeMesh({seed, nodesEach});
  mesh.publish('platform', put(callClass('platform', 'c')));
  mesh.publish('a', put(group('a', 'g'), service('a', 's0')));
  mesh.run(5000);
  expect(mesh.laggards()).to.deep.equal([]);
  return mesh;
}

function restart(mesh: FakeMesh, ids: readonly string[]): void {
  mesh.kill(...ids);
  for (const id of ids) mesh.start(id);
  mesh.shareMembers();
}

function settledCount(mesh: FakeMesh): number {
  return mesh.ids.filter(id => mesh.agentOf(id)?.settled).length;
}

describe('an outage of the log', () => {
  for (const seed of SEEDS) {
    it(`lets the only reader of a version serve no less (seed ${seed})`, () => {
      const mesh = startedMesh(seed);
      const reader = mesh.relaysOf('dc0')[seed % 3]!;
      mesh.run(25_000);
      mesh.logReader = reader;
      mesh.publish('b', put(customer('b', 'x')));
      const {version} = mesh.expected();
      const isRead = () => mesh.enforcedAtMs.get(reader)!.has(version);
      expect(mesh.runUntil(isRead, 25_000)).to.equal(true);
      mesh.log.down = true;
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

  it('lets no node serve when all have lost their memory', () => {
    const mesh = startedMesh(11);
    mesh.log.down = true;
    restart(mesh, mesh.ids);
    mesh.run(120_000);
    expect(settledCount(mesh)).to.equal(0);
    mesh.log.down = false;
    mesh.run(60_000);
    expect(mesh.laggards()).to.deep.equal([]);
    expect(mesh.violations).to.deep.equal([]);
  });

  it('lets a data centre start from the others', () => {
    const mesh = startedMesh(12);
    mesh.log.down = true;
    restart(mesh, mesh.idsOf('dc0').slice(1));
    mesh.run(20_000);
    expect(mesh.laggards()).to.deep.equal([]);
  });

  it('of longer than the retention changes nothing in force', () => {
    const mesh = startedMesh(13);
    mesh.log.down = true;
    mesh.run(60_000);
    mesh.log.trim('config', mesh.log.boundsOf('config').next);
    mesh.log.trim('snapshots', mesh.log.boundsOf('snapshots').next);
    mesh.log.down = false;
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
    it(`that loses unread records is bridged alike (seed ${seed})`, () => {
      const mesh = startedMesh(seed);
      const before = mesh.expected().version;
      mesh.log.down = true;
      mesh.publish('b', put(customer('b', 'lost')));
      mesh.run(30_000);
      mesh.log.trim('config', mesh.log.boundsOf('config').next);
      mesh.log.trim('snapshots', mesh.log.boundsOf('snapshots').next);
      mesh.log.down = false;
      mesh.run(60_000);
      expect(mesh.versionsInForce()).to.deep.equal([before]);
      expect(mesh.alarms).not.to.deep.equal([]);
      mesh.publish('b', put(customer('b', 'next')), before);
      mesh.run(30_000);
      const sets = mesh.ids.map(id => mesh.agentOf(id)?.version.digest);
      expect(new Set(sets).size).to.equal(1);
      expect(mesh.versionsInForce()).to.deep.equal([before + 2]);
      expect(mesh.violations).to.deep.equal([]);
    });
  }
});

describe('a cold start', () => {
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

  it('of all nodes reads the log at the relays alone', () => {
    const mesh = startedMesh(22, 20);
    const before = mesh.log.reads;
    restart(mesh, mesh.ids);
    mesh.run(5000);
    expect(mesh.laggards()).to.deep.equal([]);
    // Three relays in each of three data centres read a few pages.
    expect(mesh.log.reads - before).to.be.at.most(9 * 6);
  });
});

describe('a node that joins nobody', () => {
  it('reads the log in the end, and goes on reading it', () => {
    const mesh = new FakeMesh({seed: 23, dataCentres: 1, nodesEach: 1});
    mesh.publish('platform', put(callClass('platform', 'c')));
    mesh.run(5000);
    expect(mesh.log.reads).to.equal(0);
    mesh.run(60_000);
    expect(mesh.laggards()).to.deep.equal([]);
    mesh.publish('b', put(customer('b', 'x')));
    mesh.run(1000);
    expect(mesh.laggards()).to.deep.equal([]);
  });
});

describe('reads of the log', () => {
  it('do not grow with the fleet', () => {
    const counts = [6, 12, 24].map(nodesEach => {
      const mesh = startedMesh(31, nodesEach);
      const before = mesh.log.reads;
      for (let i = 0; i < 5; i++) {
        mesh.publish('b', put(customer('b', `x${i}`)));
        mesh.run(1000);
      }
      return mesh.log.reads - before;
    });
    expect(new Set(counts).size).to.equal(1);
  });
});

describe('distribution without faults', () => {
  const preferences = [
    {preference: 'convergence' as const, targetMs: 1000},
    {preference: 'bytes' as const, targetMs: 4000},
  ];
  for (const {preference, targetMs} of preferences) {
    it(`is done in time with the preference ${preference}`, () => {
      const mesh = new FakeMesh({seed: 41, nodesEach: 40, preference});
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
