import {expect} from 'chai';

import {DISTRIBUTION_TIMING, Topology} from '../../src/index.js';
import type {ConfigPeer} from '../../src/index.js';
import {
  MAX_LAGGARDS,
  VersionReporter,
} from '../../src/report/version-reporter.js';

const TIMING = DISTRIBUTION_TIMING.convergence;

const PEERS: ConfigPeer[] = Array.from({length: 60}, (unused, index) => ({
  id: `n${index}`,
  dataCentre: index < 50 ? 'dc0' : 'dc1',
  region: 'r',
}));

/** Runs reporters for 2 s; returns the fleet report and the message count. */
function runReports(versionOf: (id: string) => number, silent: string[] = []) {
  const nodes = PEERS.filter(({id}) => !silent.includes(id)).map(self => ({
    topology: new Topology(self, PEERS),
    reporter: new VersionReporter(TIMING, 0),
  }));
  let messages = 0;
  for (const {topology, reporter} of nodes) {
    reporter.setVersion(versionOf(topology.self.id), 0);
  }
  for (let nowMs = 0; nowMs < 2000; nowMs += 10) {
    for (const {topology, reporter} of nodes) {
      const outgoing = reporter.poll(topology, false, nowMs);
      for (const to of outgoing?.to ?? []) {
        messages++;
        nodes
          .find(node => node.topology.self.id === to)
          ?.reporter.onReport(topology.self.id, outgoing!.report, nowMs);
      }
    }
  }
  const root = new Topology(PEERS[0]!, PEERS).reportRootOf('dc0');
  const {topology, reporter} = nodes.find(
    node => node.topology.self.id === root,
  )!;
  return {report: reporter.fleetReport(topology, 2000), messages};
}

describe('VersionReporter', () => {
  it('counts every node of all data centres once', () => {
    const {report, messages} = runReports(id => (id === 'n7' ? 3 : 4));
    expect(report.counts).to.deep.equal({
      dc0: {3: 1, 4: 49},
      dc1: {4: 10},
    });
    // Each node sends only to its parent, a few times while reports change.
    expect(messages).to.be.at.most(PEERS.length * 6);
  });

  it('lists silent nodes as laggards and does not wait for them', () => {
    const root = new Topology(PEERS[0]!, PEERS).reportRootOf('dc0');
    const silent = PEERS.map(({id}) => id)
      .filter(id => id !== root)
      .slice(0, 3);
    const {report} = runReports(() => 4, silent);
    expect(report.laggards).to.include.members(silent.slice(0, 1));
    const counted = Object.values(report.counts['dc0'] ?? {});
    expect(counted.reduce((a, b) => a + b, 0)).to.be.at.most(47);
  });

  it('bounds the number of laggards in a report', () => {
    const reporter = new VersionReporter(TIMING, 0);
    const topology = new Topology(PEERS[0]!, PEERS);
    const report = reporter.subtreeReport(topology, 0);
    expect(report.laggards.length).to.be.at.most(MAX_LAGGARDS);
  });
});
