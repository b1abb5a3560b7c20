import {expect} from 'chai';

import {callClass, group, put, remove, route, service} from '../fixtures.js';
import {FakeMesh} from './fake-mesh.js';

const SEEDS = [1, 2, 3, 5, 8];

/** Time within which all nodes have to agree after the faults have ended. */
const CONVERGED_MS = 60_000;

function startedMesh(seed: number): FakeMesh {
  const mesh = new FakeMesh({seed});
  mesh.publish('platform', put(callClass('platform', 'c')));
  mesh.publish('a', put(group('a', 'g'), service('a', 's0')));
  mesh.run(5000);
  expect(mesh.laggards()).to.deep.equal([]);
  return mesh;
}

/** Publishes changes that add and remove routes and their services. */
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
    name: 'messages lost, repeated and crossed',
    begin: mesh => {
      mesh.loss = 0.3;
      mesh.repeats = 0.3;
      mesh.spreadMs = 400;
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
      mesh.log.down = true;
    },
  },
  {
    name: 'all relays killed together',
    begin: mesh => {
      for (const dataCentre of ['dc0', 'dc1', 'dc2']) {
        mesh.kill(...mesh.relaysOf(dataCentre));
      }
      mesh.run(2000);
      mesh.shareMembers();
    },
  },
  {
    name: 'a data centre killed and back',
    begin: mesh => {
      mesh.kill(...mesh.idsOf('dc1'));
      mesh.run(2000);
      mesh.shareMembers();
      mesh.run(2000);
      for (const id of mesh.idsOf('dc1')) mesh.start(id);
      mesh.shareMembers();
    },
  },
  {
    name: 'relays restarted at once, unnoticed',
    begin: mesh => {
      for (const id of mesh.relaysOf('dc0')) {
        mesh.kill(id);
        mesh.start(id);
      }
      mesh.shareMembers();
    },
  },
  {
    name: 'a paused node that wakes and speaks',
    begin: mesh => {
      for (const id of mesh.ids.slice(0, 2)) mesh.pause(id, 20_000);
    },
  },
  {
    name: 'a data centre that is cut off',
    begin: mesh => {
      const isIn = (id: string) => id.startsWith('dc2');
      mesh.partition((from, to) => isIn(from) !== isIn(to));
    },
  },
];

function expectRecovery(mesh: FakeMesh): void {
  mesh.heal();
  for (const id of mesh.ids) if (!mesh.agentOf(id)) mesh.start(id);
  mesh.shareMembers();
  publishSome(mesh, 1);
  mesh.run(CONVERGED_MS);
  expect(mesh.violations).to.deep.equal([]);
  expect(mesh.laggards()).to.deep.equal([]);
  expect(mesh.alarms).to.deep.equal([]);
}

describe('ConfigAgent under faults', () => {
  for (const fault of FAULTS) {
    for (const seed of SEEDS) {
      it(`never falls back with ${fault.name} (seed ${seed})`, () => {
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
    it(`never falls back with ${first.name} and ${second.name}`, () => {
      const mesh = startedMesh(100 + index);
      first.begin(mesh);
      publishSome(mesh, 2);
      second.begin(mesh);
      publishSome(mesh, 4);
      expectRecovery(mesh);
    });
  }
});
