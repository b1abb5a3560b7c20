import {expect} from 'chai';

import {customer, put} from '../fixtures.js';
import {FakeMesh} from './fake-mesh.js';

const REPORTED_MS = 2000;

describe('the report of versions in force', () => {
  it('counts all nodes, asked at any of them', () => {
    const mesh = new FakeMesh({seed: 51, nodesEach: 20});
    mesh.publish('b', put(customer('b', 'x')));
    mesh.run(5000);
    mesh.publish('b', put(customer('b', 'y')));
    mesh.run(REPORTED_MS);
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

  it('shows a node that stays behind', () => {
    const mesh = new FakeMesh({seed: 52, nodesEach: 10});
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

  it('costs a node the same in a larger fleet', () => {
    const rates = [6, 24, 48].map(nodesEach => {
      const mesh = new FakeMesh({seed: 53, nodesEach});
      mesh.publish('b', put(customer('b', 'x')));
      mesh.run(10_000);
      const before = mesh.messages;
      mesh.run(30_000);
      return (mesh.messages - before) / mesh.ids.length / 30;
    });
    // One exchange and a fifth of a report in each second, and some answers.
    for (const rate of rates) expect(rate).to.be.at.most(2);
  });
});
