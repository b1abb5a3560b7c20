import {expect} from 'chai';

import {
  ANSWER,
  ClaimCluster,
  WINDOW_MS,
  type AppendFault,
} from './claim-harness.js';

const SEEDS = [1, 2, 3, 5, 8, 13, 21, 34];
const CLAIMED = {outcome: 'unknown', reason: 'claimed'};
const MISMATCH = {outcome: 'not-run', reason: 'claimed'};
const UNAVAILABLE = {outcome: 'not-run', reason: 'claims-unavailable'};

/** Runs a case from each seed; `w1` starts as the writer. */
function forSeeds(name: string, test: (cluster: ClaimCluster) => void): void {
  for (const seed of SEEDS) {
    it(`${name} (seed ${seed})`, () => {
      const cluster = new ClaimCluster(seed);
      for (const entry of ['e1', 'e2']) cluster.addEntry(entry);
      for (const writer of ['w1', 'w2']) cluster.addWriter(writer);
      cluster.setRole('w1', true);
      cluster.pass(30);
      test(cluster);
      for (const [key, runs] of cluster.runs) {
        expect(runs, `runs of ${key}`).to.equal(1);
      }
    });
  }
}

/** Makes `w2` the writer in everyone's view. */
function moveWriter(cluster: ClaimCluster): void {
  cluster.belief = 'w2';
  cluster.setRole('w2', true);
}

describe('claims under faults', () => {
  forSeeds('run one of two tries that cross', cluster => {
    const calls = [cluster.call('e1', 'k'), cluster.call('e2', 'k')];
    cluster.pass(200);
    const ends = calls.map(call => cluster.ends.get(call));
    expect(ends).to.have.deep.members(['run', CLAIMED]);
  });

  forSeeds('return the first answer to a later try', cluster => {
    cluster.onRun = () => ANSWER;
    cluster.call('e1', 'k');
    cluster.pass(200);
    const second = cluster.call('e2', 'k');
    cluster.pass(200);
    expect(cluster.ends.get(second)).to.equal('answered');
  });

  forSeeds('return an answer that is not in the log yet', cluster => {
    cluster.onRun = () => ANSWER;
    const first = cluster.call('e1', 'k');
    while (!cluster.ends.has(first)) cluster.pass(1);
    cluster.pass(8);
    const before = cluster.records.length;
    const second = cluster.call('e2', 'k');
    cluster.pass(8);
    expect(cluster.ends.get(second)).to.equal('answered');
    expect(cluster.records.length).to.equal(before);
  });

  forSeeds('hand the answers on when the role is given up', cluster => {
    cluster.onRun = () => ANSWER;
    const first = cluster.call('e1', 'k');
    while (!cluster.ends.has(first)) cluster.pass(1);
    cluster.pass(8);
    cluster.setRole('w1', false);
    moveWriter(cluster);
    cluster.pass(50);
    const second = cluster.call('e2', 'k');
    cluster.pass(100);
    expect(cluster.ends.get(second)).to.equal('answered');
    expect(cluster.writerStatus('w1')?.state).to.equal('idle');
  });

  forSeeds('return the answer also after the writer moved', cluster => {
    cluster.onRun = () => ANSWER;
    cluster.call('e1', 'k');
    cluster.pass(200);
    cluster.crash('w1');
    moveWriter(cluster);
    const second = cluster.call('e2', 'k');
    cluster.pass(200);
    expect(cluster.ends.get(second)).to.equal('answered');
  });

  forSeeds('refuse a key that was used for another request', cluster => {
    cluster.call('e1', 'k', 'one');
    cluster.pass(100);
    const other = cluster.call('e2', 'k', 'two');
    cluster.pass(100);
    expect(cluster.ends.get(other)).to.deep.equal(MISMATCH);
  });

  const faults: {name: string; faults: AppendFault[]}[] = [
    {name: 'lost answer', faults: ['lost']},
    {name: 'append that lands late', faults: ['late']},
    {name: 'append that never lands', faults: ['never']},
    {name: 'one after the other', faults: ['late', 'lost', 'never', 'late']},
  ];
  for (const row of faults) {
    forSeeds(`run once in spite of ${row.name}`, cluster => {
      cluster.appendFaults = row.faults;
      const first = cluster.call('e1', 'k');
      cluster.pass(100);
      const second = cluster.call('e2', 'k');
      cluster.pass(900);
      expect(cluster.ends.get(first)).to.equal('run');
      expect(cluster.ends.get(second)).to.deep.equal(CLAIMED);
    });
  }

  forSeeds('refuse as not run in an outage, and free the key', cluster => {
    cluster.isLogDown = true;
    const refused = cluster.call('e1', 'k');
    cluster.pass(600);
    expect(cluster.ends.get(refused)).to.deep.equal(UNAVAILABLE);
    cluster.isLogDown = false;
    cluster.pass(300);
    const later = cluster.call('e2', 'k');
    cluster.pass(300);
    expect(cluster.ends.get(later)).to.equal('run');
  });

  forSeeds('free a key whose append is in doubt in an outage', cluster => {
    cluster.appendFaults = ['lost'];
    const refused = cluster.call('e1', 'k');
    cluster.pass(2);
    cluster.isLogDown = true;
    cluster.pass(700);
    expect(cluster.ends.get(refused)).to.deep.equal(UNAVAILABLE);
    cluster.isLogDown = false;
    cluster.pass(300);
    const later = cluster.call('e2', 'k');
    cluster.pass(300);
    expect(cluster.ends.get(later)).to.equal('run');
  });

  forSeeds('grant the same try when its writer crashed', cluster => {
    const first = cluster.call('e1', 'k');
    cluster.pass(4);
    cluster.crash('w1');
    moveWriter(cluster);
    const second = cluster.call('e2', 'k');
    cluster.pass(500);
    const ends = [first, second].map(call => cluster.ends.get(call));
    expect(ends).to.have.deep.members(['run', CLAIMED]);
  });

  forSeeds('grant nothing twice when a paused writer wakes', cluster => {
    cluster.beliefs.set('e1', 'w1');
    cluster.pause('w1', 300);
    const slept = cluster.call('e1', 'k');
    moveWriter(cluster);
    const second = cluster.call('e2', 'k');
    cluster.pass(800);
    expect(cluster.ends.get(second)).to.equal('run');
    expect(cluster.ends.get(slept)).to.not.equal('run');
  });

  forSeeds('stay safe with two writers at once', cluster => {
    cluster.beliefs.set('e1', 'w1');
    cluster.beliefs.set('e2', 'w2');
    cluster.setRole('w2', true);
    for (let i = 0; i < 20; i++) {
      cluster.call('e1', `k${i}`);
      cluster.call('e2', `k${i}`);
      cluster.pass(50);
    }
    cluster.pass(600);
    expect(cluster.runs.size).to.be.at.least(10);
  });

  forSeeds('keep the claim of an entry node that crashed', cluster => {
    cluster.call('e1', 'k');
    cluster.pass(50);
    cluster.crash('e1');
    const second = cluster.call('e2', 'k');
    cluster.pass(200);
    expect(cluster.ends.get(second)).to.deep.equal(CLAIMED);
  });

  forSeeds('not run a grant that is found after the deadline', cluster => {
    const slept = cluster.call('e1', 'k');
    cluster.pause('e1', 2000);
    cluster.pass(100);
    const second = cluster.call('e2', 'k');
    cluster.pass(2200);
    expect(cluster.ends.get(second)).to.deep.equal(CLAIMED);
    expect(cluster.ends.get(slept)).to.deep.equal(UNAVAILABLE);
    const third = cluster.call('e2', 'k');
    cluster.pass(200);
    expect(cluster.ends.get(third)).to.equal('run');
  });

  forSeeds('free the key of a call that was not run', cluster => {
    cluster.onRun = () => ({type: 'not-run'});
    cluster.call('e1', 'k');
    cluster.pass(100);
    cluster.onRun = () => ({type: 'unknown'});
    const second = cluster.call('e2', 'k');
    cluster.pass(100);
    const third = cluster.call('e1', 'k');
    cluster.pass(100);
    expect(cluster.ends.get(second)).to.equal('run');
    expect(cluster.ends.get(third)).to.deep.equal(CLAIMED);
  });

  forSeeds('void a claim that lands after its release', cluster => {
    cluster.lateMs = 400;
    cluster.appendFaults = ['late'];
    cluster.onRun = () => ({type: 'not-run'});
    cluster.call('e1', 'k');
    cluster.pass(800);
    cluster.onRun = () => ({type: 'unknown'});
    const second = cluster.call('e2', 'k');
    cluster.pass(200);
    expect(cluster.ends.get(second)).to.equal('run');
  });

  forSeeds('share one rate of appends between writers', cluster => {
    cluster.beliefs.set('e2', 'w2');
    cluster.setRole('w2', true);
    const before = cluster.records.length;
    for (let i = 0; i < 500; i++) {
      cluster.call(i % 2 ? 'e1' : 'e2', `k${i}`);
      cluster.pass(4);
    }
    const perSecond = (cluster.records.length - before) / 2;
    expect(perSecond).to.be.at.most(50 * 1.1);
  });

  forSeeds('refuse until a trimmed stream covers the window', cluster => {
    cluster.call('e1', 'k');
    cluster.pass(100);
    cluster.crash('w1');
    cluster.earliest = cluster.records.length;
    moveWriter(cluster);
    cluster.pass(100);
    const early = cluster.call('e2', 'k');
    cluster.pass(600);
    expect(cluster.ends.get(early)).to.deep.equal(UNAVAILABLE);
    cluster.pass(WINDOW_MS);
    const later = cluster.call('e2', 'other');
    cluster.pass(200);
    expect(cluster.ends.get(later)).to.equal('run');
  });

  it('bounds its memory by refusing new keys, not by forgetting', () => {
    const cluster = new ClaimCluster(1);
    cluster.addEntry('e1');
    cluster.addWriter('w1', 3);
    cluster.setRole('w1', true);
    cluster.pass(30);
    for (let i = 0; i < 3; i++) cluster.call('e1', `k${i}`);
    cluster.pass(100);
    const beyond = cluster.call('e1', 'k3');
    const again = cluster.call('e1', 'k0');
    cluster.pass(100);
    expect(cluster.ends.get(beyond)).to.deep.equal(UNAVAILABLE);
    expect(cluster.ends.get(again)).to.deep.equal(CLAIMED);
    cluster.pass(WINDOW_MS + 40_000);
    const later = cluster.call('e1', 'k4');
    cluster.pass(100);
    expect(cluster.ends.get(later)).to.equal('run');
  });
});
