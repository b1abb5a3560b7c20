import {expect} from 'chai';

import {callClass, group, put, remove, route, service} from '../fixtures.js';
import {FakeMesh} from './fake-mesh.js';

const SEEDS = [1, 2, 3, 5, 8];

/** Time within which all nodes have to converge after the faults ended. */
const CONVERGENCE_TIMEOUT_MS = 60_000;

function startedMesh(seed: number): FakeMesh {
  const mesh = new FakeMesh({seed});
  mesh.publish('platform', put(callClass('platform', 'c')));
  mesh.publish('a', put(group('a', 'g'), service('a', 's0')));
  mesh.run(5000);
  expect(mesh.laggards()).to.deep.equal([]);
  return mesh;
}

/** Publishes changes that add or remove a route and its service. */
function publishSome(mesh: FakeMesh, count: number): void {
  for (let i = 0; i < count; i++) {
    const {resources} = mesh.expected();
    const present = resources.has('a/route/r') && resources.has('a/service/s');
    const pair = [service('a', 's'), route('a', 'r', 's')];
    mesh.publish('a', present ? remove(...pair) : put(...pair));
    mesh.run(300);
  }
}

interface Fault {
  name: string;
  begin(mesh: FakeMesh): void;
}

const FAULTS: Fault[] = [
  {
    name: 'lost, duplicated and reordered messages',
    begin: mesh => {
      mesh.lossRate = 0.3;
      mesh.duplicateRate = 0.3;
      mesh.maxJitterMs = 400;
    },
  },
  {
    name: 'a slow log',
    begin: mesh => {
      mesh.logDelayMs = 1500;
    },
  },
  {
    name: 'a log outage',
    begin: mesh => {
      mesh.log.isDown = true;
    },
  },
  {
    name: 'all relays killed at the same time',
    begin: mesh => {
      for (const dataCentre of ['dc0', 'dc1', 'dc2']) {
        mesh.kill(...mesh.relaysOf(dataCentre));
      }
      mesh.run(2000);
      mesh.updateMembers();
    },
  },
  {
    name: 'a data centre killed and restarted',
    begin: mesh => {
      mesh.kill(...mesh.idsOf('dc1'));
      mesh.run(2000);
      mesh.updateMembers();
      mesh.run(2000);
      for (const id of mesh.idsOf('dc1')) mesh.start(id);
      mesh.updateMembers();
    },
  },
  {
    name: 'relays restarted before their failure is detected',
    begin: mesh => {
      for (const id of mesh.relaysOf('dc0')) {
        mesh.kill(id);
        mesh.start(id);
      }
      mesh.updateMembers();
    },
  },
  {
    name: 'paused nodes that resume',
    begin: mesh => {
      for (const id of mesh.ids.slice(0, 2)) mesh.pause(id, 20_000);
    },
  },
  {
    name: 'a partitioned data centre',
    begin: mesh => {
      const isIn = (id: string) => id.startsWith('dc2');
      mesh.partition((from, to) => isIn(from) !== isIn(to));
    },
  },
];

function expectRecovery(mesh: FakeMesh): void {
  mesh.heal();
  for (const id of mesh.ids) if (!mesh.agentOf(id)) mesh.start(id);
  mesh.updateMembers();
  publishSome(mesh, 1);
  mesh.run(CONVERGENCE_TIMEOUT_MS);
  expect(mesh.violations).to.deep.equal([]);
  expect(mesh.laggards()).to.deep.equal([]);
  expect(mesh.alarms).to.deep.equal([]);
}

describe('ConfigAgent under faults', () => {
  for (const fault of FAULTS) {
    for (const seed of SEEDS) {
      it(`converges and enforces no older version with ${fault.name} (seed ${seed})`, () => {
        const mesh = startedMesh(seed);
        publishSome(mesh, 2);
        fault.begin(mesh);
        publishSome(mesh, 6);
        expectRecovery(mesh);
      });
    }
  }

  const pairs = FAULTS.flatMap((first, index) =>
    FAULTS.slice(index + 1).map(second => ({first, second})),
  );
  for (const [index, {first, second}] of pairs.entries()) {
    it(`converges and enforces no older version with ${first.name} and ${second.name}`, () => {
      const mesh = startedMesh(100 + index);
      first.begin(mesh);
      publishSome(mesh, 2);
      second.begin(mesh);
      publishSome(mesh, 4);
      expectRecovery(mesh);
    });
  }
});
