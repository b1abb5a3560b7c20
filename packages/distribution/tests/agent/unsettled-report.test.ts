import {expect} from 'chai';

import {callClass, put} from '../fixtures.js';
import {FakeMesh} from './fake-mesh.js';

describe('ConfigAgent with a version before it is settled', () => {
  for (const seed of [1, 2, 3, 5, 8]) {
    it(`does not report the version as in force (seed ${seed})`, () => {
      const mesh = new FakeMesh({seed});
      mesh.publish('platform', put(callClass('platform', 'c')));
      mesh.run(5000);
      const relays = new Set(mesh.relaysOf('dc0'));
      const id = mesh.idsOf('dc0').find(item => !relays.has(item)) ?? '';
      const [peer] = relays;
      mesh.log.isDown = true;
      mesh.kill(id);
      // Only one relay answers: the node gets the version, but cannot settle.
      mesh.partition((from, to) => {
        if (from === id) return to !== peer;
        return to === id && from !== peer;
      });
      mesh.start(id);
      mesh.updateMembers();
      mesh.run(3000);
      const agent = mesh.agentOf(id);
      expect(agent?.settled).to.equal(false);
      expect(agent?.version.version).to.equal(0);
      const {counts} = agent!.fleetReport(mesh.nowMs);
      expect(counts['dc0']).to.deep.equal({'-1': 1});
    });
  }
});
