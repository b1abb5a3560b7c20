import {expect} from 'chai';

import {digestOf} from '@turmericmill/config';
import type {ResourceWrite} from '@turmericmill/config';

import {applyWrites} from '../../src/index.js';
import {DeltaHistory, mergeDeltas} from '../../src/replica/delta-history.js';
import {
  applyDelta,
  noVersion,
  wholeVersion,
} from '../../src/replica/config-version.js';
import {
  SnapshotStaging,
  splitSnapshot,
} from '../../src/replica/snapshot-parts.js';
import {customer, put, remove, route} from '../fixtures.js';

/** Versions 0 to 4, each with one more customer or one less. */
const WRITES: ResourceWrite[][] = [
  put(customer('a', 'x')),
  put(customer('a', 'y')),
  remove(customer('a', 'x')),
  put(customer('a', 'y', 7)),
  put(customer('a', 'z')),
];

function deltas() {
  let {resources} = noVersion();
  return WRITES.map((writes, version) => {
    resources = applyWrites(resources, writes);
    const digest = digestOf(resources);
    const from = version - 1;
    return {from, to: version, digest, writes, acceptedAtMs: 0};
  });
}

function versionAt(version: number) {
  return deltas()
    .slice(0, version + 1)
    .reduce(
      (current, delta) => applyDelta(current, delta).unwrap(),
      noVersion(),
    );
}

describe('applyDelta', () => {
  const merged = mergeDeltas(deltas().slice(1, 4))!;
  const cases: {name: string; at: number; result: string | number}[] = [
    {name: 'at its start', at: 0, result: 3},
    {name: 'inside it', at: 1, result: 3},
    {name: 'later inside it', at: 2, result: 3},
    {name: 'at its end', at: 3, result: 'stale'},
    {name: 'after it', at: 4, result: 'stale'},
    {name: 'before it', at: -1, result: 'gap'},
  ];
  for (const {name, at, result} of cases) {
    it(`takes a merged change ${name} to ${result}`, () => {
      const applied = applyDelta(versionAt(at), merged);
      const actual = applied.isOk() ? applied.value.version : applied.error;
      expect(actual).to.equal(result);
      if (applied.isOk()) {
        expect(applied.value.digest).to.equal(versionAt(3).digest);
      }
    });
  }

  it('refuses a change whose result has another digest', () => {
    const damaged = {...merged, writes: merged.writes.slice(1)};
    const applied = applyDelta(versionAt(0), damaged);
    expect(applied.unwrapErr()).to.equal('digest-mismatch');
  });
});

describe('DeltaHistory', () => {
  it('gives all changes after a version, or nothing', () => {
    const history = new DeltaHistory();
    for (const delta of deltas().slice(1)) history.add(delta);
    expect(history.since(4)).to.equal(undefined);
    expect(history.since(-1)).to.equal(undefined);
    for (const version of [0, 1, 2, 3]) {
      const delta = history.since(version)!;
      const applied = applyDelta(versionAt(version), delta).unwrap();
      expect(applied.digest).to.equal(versionAt(4).digest);
    }
  });

  it('forgets the oldest changes beyond its size', () => {
    const history = new DeltaHistory(500);
    for (const delta of deltas()) history.add(delta);
    expect(history.since(-1)).to.equal(undefined);
    expect(history.since(3)).not.to.equal(undefined);
  });

  it('forgets what lies before a gap', () => {
    const history = new DeltaHistory();
    const [first, , third] = deltas();
    history.add(first!);
    history.add(third!);
    expect(history.since(-1)).to.equal(undefined);
  });
});

describe('snapshot parts', () => {
  const large = applyWrites(
    noVersion().resources,
    put(
      ...Array.from({length: 40}, (unused, index) =>
        route('a', `r${index}`, 's', {
          path: `/${index}`,
          headers: {'x-long': 'y'.repeat(20_000)},
        }),
      ),
    ),
  );
  const current = {version: 9, digest: digestOf(large), resources: large};

  it('give the whole set in any order, with repeats', () => {
    const parts = splitSnapshot(current);
    expect(parts.length).to.be.greaterThan(2);
    const staging = SnapshotStaging.open('n', parts[0]!)!;
    const order = [...parts.slice(1), parts[1]!, parts[0]!];
    const results = order.map(part => staging.add(part));
    expect(results.slice(0, -1).every(item => !item)).to.equal(true);
    const whole = wholeVersion(9, current.digest, results.at(-1)!);
    expect(whole.unwrap().resources.size).to.equal(40);
  });

  it('are refused when the set has another digest', () => {
    const [part] = splitSnapshot(current);
    const whole = wholeVersion(9, current.digest, part!.writes);
    expect(whole.unwrapErr()).to.equal('digest-mismatch');
  });

  it('of an absurd number are refused', () => {
    const [part] = splitSnapshot(current);
    for (const parts of [0, -1, 1.5, 1e9]) {
      const opened = SnapshotStaging.open('n', {...part!, parts});
      expect(opened).to.equal(undefined);
    }
  });
});
