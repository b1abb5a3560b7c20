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

/** Runs a case with each seed, with `w1` as the initial writer. */
function forSeeds(name: string, test: (cluster: ClaimCluster) => void): void {
  for (const seed of SEEDS) {
    it(`${name} (seed ${seed})`, () => {
      const cluster = new ClaimCluster(seed);
      for (const entry of ['e1', 'e2']) cluster.addEntry(entry);
      for (const writer of ['w1', 'w2']) cluster.addWriter(writer);
      cluster.setRole('w1', true);
      cluster.advance(30);
      test(cluster);
      for (const [key, runs] of cluster.runs) {
        expect(runs, `runs of ${key}`).to.equal(1);
      }
    });
  }
}

/** Gives `w2` the role, and makes it the default writer of all entry nodes. */
function moveWriter(cluster: ClaimCluster): void {
  cluster.assumedWriter = 'w2';
  cluster.setRole('w2', true);
}

describe('claims under faults', () => {
  forSeeds('run one of two concurrent attempts', cluster => {
    const calls = [cluster.call('e1', 'k'), cluster.call('e2', 'k')];
    cluster.advance(200);
    const ends = calls.map(call => cluster.ends.get(call));
    expect(ends).to.have.deep.members(['run', CLAIMED]);
  });

  forSeeds('return the first answer to a later attempt', cluster => {
    cluster.onRun = () => ANSWER;
    cluster.call('e1', 'k');
    cluster.advance(200);
    const second = cluster.call('e2', 'k');
    cluster.advance(200);
    expect(cluster.ends.get(second)).to.equal('answered');
  });

  forSeeds('return an answer that is not in the log yet', cluster => {
    cluster.onRun = () => ANSWER;
    const first = cluster.call('e1', 'k');
    while (!cluster.ends.has(first)) cluster.advance(1);
    cluster.advance(8);
    const before = cluster.records.length;
    const second = cluster.call('e2', 'k');
    cluster.advance(8);
    expect(cluster.ends.get(second)).to.equal('answered');
    expect(cluster.records.length).to.equal(before);
  });

  forSeeds('append pending answers before the writer role is lost', cluster => {
    cluster.onRun = () => ANSWER;
    const first = cluster.call('e1', 'k');
    while (!cluster.ends.has(first)) cluster.advance(1);
    cluster.advance(8);
    cluster.setRole('w1', false);
    moveWriter(cluster);
    cluster.advance(50);
    const second = cluster.call('e2', 'k');
    cluster.advance(100);
    expect(cluster.ends.get(second)).to.equal('answered');
    expect(cluster.writerStatus('w1')?.state).to.equal('idle');
  });

  forSeeds('return the answer after the writer has changed', cluster => {
    cluster.onRun = () => ANSWER;
    cluster.call('e1', 'k');
    cluster.advance(200);
    cluster.crash('w1');
    moveWriter(cluster);
    const second = cluster.call('e2', 'k');
    cluster.advance(200);
    expect(cluster.ends.get(second)).to.equal('answered');
  });

  forSeeds('refuse a key that was used for another request', cluster => {
    cluster.call('e1', 'k', 'one');
    cluster.advance(100);
    const other = cluster.call('e2', 'k', 'two');
    cluster.advance(100);
    expect(cluster.ends.get(other)).to.deep.equal(MISMATCH);
  });

  const faults: {name: string; faults: AppendFault[]}[] = [
    {name: 'a lost append result', faults: ['lost']},
    {name: 'an append that takes effect late', faults: ['late']},
    {name: 'an append that never takes effect', faults: ['never']},
    {
      name: 'several append faults in succession',
      faults: ['late', 'lost', 'never', 'late'],
    },
  ];
  for (const row of faults) {
    forSeeds(`run the call once despite ${row.name}`, cluster => {
      cluster.appendFaults = row.faults;
      const first = cluster.call('e1', 'k');
      cluster.advance(100);
      const second = cluster.call('e2', 'k');
      cluster.advance(900);
      expect(cluster.ends.get(first)).to.equal('run');
      expect(cluster.ends.get(second)).to.deep.equal(CLAIMED);
    });
  }

  forSeeds('refuse as not run in a log outage, and free the key', cluster => {
    cluster.isLogDown = true;
    const refused = cluster.call('e1', 'k');
    cluster.advance(600);
    expect(cluster.ends.get(refused)).to.deep.equal(UNAVAILABLE);
    cluster.isLogDown = false;
    cluster.advance(300);
    const later = cluster.call('e2', 'k');
    cluster.advance(300);
    expect(cluster.ends.get(later)).to.equal('run');
  });

  forSeeds('free a key whose append is in doubt in a log outage', cluster => {
    cluster.appendFaults = ['lost'];
    const refused = cluster.call('e1', 'k');
    cluster.advance(2);
    cluster.isLogDown = true;
    cluster.advance(700);
    expect(cluster.ends.get(refused)).to.deep.equal(UNAVAILABLE);
    cluster.isLogDown = false;
    cluster.advance(300);
    const later = cluster.call('e2', 'k');
    cluster.advance(300);
    expect(cluster.ends.get(later)).to.equal('run');
  });

  forSeeds('run one of two attempts when the writer crashes', cluster => {
    const first = cluster.call('e1', 'k');
    cluster.advance(4);
    cluster.crash('w1');
    moveWriter(cluster);
    const second = cluster.call('e2', 'k');
    cluster.advance(500);
    const ends = [first, second].map(call => cluster.ends.get(call));
    expect(ends).to.have.deep.members(['run', CLAIMED]);
  });

  forSeeds('grant no key twice when a paused writer resumes', cluster => {
    cluster.assumedWriters.set('e1', 'w1');
    cluster.pause('w1', 300);
    const delayed = cluster.call('e1', 'k');
    moveWriter(cluster);
    const second = cluster.call('e2', 'k');
    cluster.advance(800);
    expect(cluster.ends.get(second)).to.equal('run');
    expect(cluster.ends.get(delayed)).to.not.equal('run');
  });

  forSeeds('run each request once with two concurrent writers', cluster => {
    cluster.assumedWriters.set('e1', 'w1');
    cluster.assumedWriters.set('e2', 'w2');
    cluster.setRole('w2', true);
    for (let i = 0; i < 20; i++) {
      cluster.call('e1', `k${i}`);
      cluster.call('e2', `k${i}`);
      cluster.advance(50);
    }
    cluster.advance(600);
    expect(cluster.runs.size).to.be.at.least(10);
  });

  forSeeds('keep the claim of an entry node that crashed', cluster => {
    cluster.call('e1', 'k');
    cluster.advance(50);
    cluster.crash('e1');
    const second = cluster.call('e2', 'k');
    cluster.advance(200);
    expect(cluster.ends.get(second)).to.deep.equal(CLAIMED);
  });

  forSeeds(
    'do not run a call whose grant arrives after the deadline',
    cluster => {
      const delayed = cluster.call('e1', 'k');
      cluster.pause('e1', 2000);
      cluster.advance(100);
      const second = cluster.call('e2', 'k');
      cluster.advance(2200);
      expect(cluster.ends.get(second)).to.deep.equal(CLAIMED);
      expect(cluster.ends.get(delayed)).to.deep.equal(UNAVAILABLE);
      const third = cluster.call('e2', 'k');
      cluster.advance(200);
      expect(cluster.ends.get(third)).to.equal('run');
    },
  );

  forSeeds('free the key of a call that was not run', cluster => {
    cluster.onRun = () => ({type: 'not-run'});
    cluster.call('e1', 'k');
    cluster.advance(100);
    cluster.onRun = () => ({type: 'unknown'});
    const second = cluster.call('e2', 'k');
    cluster.advance(100);
    const third = cluster.call('e1', 'k');
    cluster.advance(100);
    expect(cluster.ends.get(second)).to.equal('run');
    expect(cluster.ends.get(third)).to.deep.equal(CLAIMED);
  });

  forSeeds('void a claim that is appended after its release', cluster => {
    cluster.lateMs = 400;
    cluster.appendFaults = ['late'];
    cluster.onRun = () => ({type: 'not-run'});
    cluster.call('e1', 'k');
    cluster.advance(800);
    cluster.onRun = () => ({type: 'unknown'});
    const second = cluster.call('e2', 'k');
    cluster.advance(200);
    expect(cluster.ends.get(second)).to.equal('run');
  });

  forSeeds('share the append rate between writers', cluster => {
    cluster.assumedWriters.set('e2', 'w2');
    cluster.setRole('w2', true);
    const before = cluster.records.length;
    for (let i = 0; i < 500; i++) {
      cluster.call(i % 2 ? 'e1' : 'e2', `k${i}`);
      cluster.advance(4);
    }
    const perSecond = (cluster.records.length - before) / 2;
    expect(perSecond).to.be.at.most(50 * 1.1);
  });

  forSeeds(
    'refuse claims until a trimmed stream covers the retention time',
    cluster => {
      cluster.call('e1', 'k');
      cluster.advance(100);
      cluster.crash('w1');
      cluster.earliest = cluster.records.length;
      moveWriter(cluster);
      cluster.advance(100);
      const early = cluster.call('e2', 'k');
      cluster.advance(600);
      expect(cluster.ends.get(early)).to.deep.equal(UNAVAILABLE);
      cluster.advance(WINDOW_MS);
      const later = cluster.call('e2', 'other');
      cluster.advance(200);
      expect(cluster.ends.get(later)).to.equal('run');
    },
  );

  it('bound their memory by refusing new keys, not by evicting old ones', () => {
    const cluster = new ClaimCluster(1);
    cluster.addEntry('e1');
    cluster.addWriter('w1', 3);
    cluster.setRole('w1', true);
    cluster.advance(30);
    for (let i = 0; i < 3; i++) cluster.call('e1', `k${i}`);
    cluster.advance(100);
    const beyond = cluster.call('e1', 'k3');
    const again = cluster.call('e1', 'k0');
    cluster.advance(100);
    expect(cluster.ends.get(beyond)).to.deep.equal(UNAVAILABLE);
    expect(cluster.ends.get(again)).to.deep.equal(CLAIMED);
    cluster.advance(WINDOW_MS + 40_000);
    const later = cluster.call('e1', 'k4');
    cluster.advance(100);
    expect(cluster.ends.get(later)).to.equal('run');
  });
});
