import {expect} from 'chai';

import {digestOf} from '@turmericmill/config';
import type {ResourceWrite} from '@turmericmill/config';

import {applyWrites} from '../../src/index.js';
import {DeltaHistory, mergeDeltas} from '../../src/replica/delta-history.js';
import {
  applyDelta,
  emptyVersion,
  versionFromSnapshot,
} from '../../src/replica/config-version.js';
import {
  SnapshotAssembler,
  splitSnapshot,
} from '../../src/replica/snapshot-parts.js';
import {customer, put, remove, route} from '../fixtures.js';

/** Writes of versions 0 to 4, each of which changes one customer. */
const WRITES: ResourceWrite[][] = [
  put(customer('a', 'x')),
  put(customer('a', 'y')),
  remove(customer('a', 'x')),
  put(customer('a', 'y', 7)),
  put(customer('a', 'z')),
];

function deltas() {
  let {resources} = emptyVersion();
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
      emptyVersion(),
    );
}

describe('applyDelta', () => {
  const merged = mergeDeltas(deltas().slice(1, 4))!;
  const cases: {name: string; startVersion: number; result: string | number}[] =
    [
      {name: 'at the start of its range', startVersion: 0, result: 3},
      {name: 'inside its range', startVersion: 1, result: 3},
      {name: 'later inside its range', startVersion: 2, result: 3},
      {name: 'at the end of its range', startVersion: 3, result: 'stale'},
      {name: 'after its range', startVersion: 4, result: 'stale'},
      {name: 'before its range', startVersion: -1, result: 'gap'},
    ];
  for (const {name, startVersion, result} of cases) {
    it(`applied to a version ${name}, a merged delta gives ${result}`, () => {
      const applied = applyDelta(versionAt(startVersion), merged);
      const actual = applied.isOk() ? applied.value.version : applied.error;
      expect(actual).to.equal(result);
      if (applied.isOk()) {
        expect(applied.value.digest).to.equal(versionAt(3).digest);
      }
    });
  }

  it('rejects a delta whose result has a different digest', () => {
    const damaged = {...merged, writes: merged.writes.slice(1)};
    const applied = applyDelta(versionAt(0), damaged);
    expect(applied.unwrapErr()).to.equal('digest-mismatch');
  });
});

describe('DeltaHistory', () => {
  it('returns all changes after a version, or undefined', () => {
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

  it('evicts the oldest deltas when its byte budget is exceeded', () => {
    const history = new DeltaHistory(500);
    for (const delta of deltas()) history.add(delta);
    expect(history.since(-1)).to.equal(undefined);
    expect(history.since(3)).not.to.equal(undefined);
  });

  it('removes the deltas before a gap', () => {
    const history = new DeltaHistory();
    const [first, , third] = deltas();
    history.add(first!);
    history.add(third!);
    expect(history.since(-1)).to.equal(undefined);
  });
});

describe('snapshot parts', () => {
  const large = applyWrites(
    emptyVersion().resources,
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

  it('are assembled in any order, with duplicates', () => {
    const parts = splitSnapshot(current);
    expect(parts.length).to.be.greaterThan(2);
    const assembler = SnapshotAssembler.create('n', parts[0]!)!;
    const order = [...parts.slice(1), parts[1]!, parts[0]!];
    const results = order.map(part => assembler.add(part));
    expect(results.slice(0, -1).every(item => !item)).to.equal(true);
    const version = versionFromSnapshot(9, current.digest, results.at(-1)!);
    expect(version.unwrap().resources.size).to.equal(40);
  });

  it('are rejected if the resources have a different digest', () => {
    const [part] = splitSnapshot(current);
    const version = versionFromSnapshot(9, current.digest, part!.writes);
    expect(version.unwrapErr()).to.equal('digest-mismatch');
  });

  it('are rejected if their number is invalid', () => {
    const [part] = splitSnapshot(current);
    for (const parts of [0, -1, 1.5, 1e9]) {
      const created = SnapshotAssembler.create('n', {...part!, parts});
      expect(created).to.equal(undefined);
    }
  });
});
