import {expect} from 'chai';

import {ANSWER, ClaimCluster, type AppendFault} from './claim-harness.js';

const SEEDS = Array.from({length: 60}, (unused, i) => 100 + i);
const STEPS = 150;
const KEYS = 12;
const FAULTS: AppendFault[] = ['ok', 'ok', 'none', 'lost', 'late', 'never'];

/** Applies one random fault or change to the cluster. */
function applyRandomFault(cluster: ClaimCluster, step: number): void {
  const {random} = cluster;
  const writer = random.pick(['w1', 'w2', 'w3']) ?? 'w1';
  const entry = random.pick(['e1', 'e2', 'e3']) ?? 'e1';
  switch (random.nextInt(9)) {
    case 0:
      cluster.appendFaults.push(random.pick(FAULTS) ?? 'ok');
      break;
    case 1:
      cluster.setRole(writer, random.next() < 0.6);
      break;
    case 2:
      cluster.assumedWriters.set(entry, writer);
      break;
    case 3:
      cluster.pause(writer, random.nextInt(400));
      break;
    case 4:
      cluster.pause(entry, random.nextInt(1500));
      break;
    case 5:
      cluster.crash(writer);
      cluster.addWriter(writer);
      cluster.setRole(writer, random.next() < 0.6);
      break;
    case 6:
      cluster.isLogDown = random.next() < 0.3;
      break;
    case 7:
      if (step % 5 > 0) break;
      cluster.crash(entry);
      cluster.addEntry(entry);
      break;
    default:
      break;
  }
}

describe('claims under random faults', () => {
  for (const seed of SEEDS) {
    it(`run each request at most once (seed ${seed})`, () => {
      const cluster = new ClaimCluster(seed);
      const {random} = cluster;
      cluster.lossRate = 0.05;
      cluster.claimedWaitMs = seed % 2 === 0 ? 300 : 0;
      for (const entry of ['e1', 'e2', 'e3']) cluster.addEntry(entry);
      for (const writer of ['w1', 'w2', 'w3']) cluster.addWriter(writer);
      cluster.onRun = () =>
        random.pick([ANSWER, {type: 'not-run'}, {type: 'unknown'}]);
      cluster.setRole('w1', true);
      for (let step = 0; step < STEPS; step++) {
        applyRandomFault(cluster, step);
        const entry = random.pick(['e1', 'e2', 'e3']) ?? 'e1';
        cluster.call(entry, `k${random.nextInt(KEYS)}`, 'd', 600);
        cluster.advance(random.nextInt(40));
      }
      cluster.advance(2000);
      for (const [key, runs] of cluster.runs) {
        expect(runs, `runs of ${key}`).to.equal(1);
      }
      expect(cluster.runs.size).to.be.at.least(1);
    });
  }
});
