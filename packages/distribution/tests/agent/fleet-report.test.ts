import {expect} from 'chai';

import {customer, put} from '../fixtures.js';
import {FakeMesh} from './fake-mesh.js';

const REPORT_TIMEOUT_MS = 2000;

describe('ConfigAgent.fleetReport', () => {
  it('counts all nodes, whichever node is queried', () => {
    const mesh = new FakeMesh({seed: 51, nodesPerDataCentre: 20});
    mesh.publish('b', put(customer('b', 'x')));
    mesh.run(5000);
    mesh.publish('b', put(customer('b', 'y')));
    mesh.run(REPORT_TIMEOUT_MS);
    const {version} = mesh.expected();
    const all = {
      dc0: {[version]: 20},
      dc1: {[version]: 20},
      dc2: {[version]: 20},
    };
    for (const id of ['dc0-0', 'dc1-7', 'dc2-19']) {
      expect(mesh.fleetReportAt(id)).to.deep.equal({counts: all, laggards: []});
    }
  });

  it('counts a node that is behind under its old version', () => {
    const mesh = new FakeMesh({seed: 52, nodesPerDataCentre: 10});
    mesh.publish('b', put(customer('b', 'x')));
    mesh.run(5000);
    mesh.partition((unusedFrom, to) => to === 'dc0-4');
    mesh.publish('b', put(customer('b', 'y')));
    mesh.run(30_000);
    const report = mesh.fleetReportAt('dc0-0');
    const {version} = mesh.expected();
    const behind = mesh.agentOf('dc0-4')!.version.version;
    expect(report.counts['dc0']).to.deep.equal({[version]: 9, [behind]: 1});
    expect(behind).to.be.below(version);
  });

  it('limits the messages per node for any number of nodes', () => {
    const rates = [6, 24, 48].map(nodesPerDataCentre => {
      const mesh = new FakeMesh({seed: 53, nodesPerDataCentre});
      mesh.publish('b', put(customer('b', 'x')));
      mesh.run(10_000);
      const before = mesh.messageCount;
      mesh.run(30_000);
      return (mesh.messageCount - before) / mesh.ids.length / 30;
    });
    // Per second: an exchange, its answer and a fifth of a report.
    for (const rate of rates) expect(rate).to.be.at.most(2.5);
  });
});
