import {expect} from 'chai';

import {
  encodeSnapshot,
  foldRecord,
  SnapshotCollector,
} from '../../src/index.js';
import type {ConfigState} from '../../src/index.js';
import {customer, put, remove, route, startedLog} from '../fixtures.js';

const HEADER = {writer: 'n1', atMs: 5, bridge: false};

function collect(bodies: readonly string[]): SnapshotCollector {
  const collector = new SnapshotCollector();
  bodies.forEach((body, offset) => collector.add({offset, body}));
  return collector;
}

/** A state whose snapshot takes several records. */
function largeState(): ConfigState {
  const log = startedLog();
  log.publish('a', put(customer('a', 'x')));
  log.publish('a', remove(customer('a', 'x')));
  let seed = 7;
  const noise = () => {
    seed = (seed * 48271) % 2147483647;
    return seed.toString(36);
  };
  for (let i = 0; i < 4; i++) {
    const value = Array.from({length: 30_000}, noise).join('');
    const match = {path: `/${i}`, headers: {'x-noise': value}};
    log.publish('a', put(route('a', `r${i}`, 's', match)));
  }
  return log.state;
}

describe('SnapshotCollector', () => {
  const state = largeState();
  const bodies = encodeSnapshot(state, HEADER);

  it('restores the state, so that the fold continues from it', () => {
    expect(bodies.length).to.be.greaterThan(1);
    const found = collect(bodies).newest!;
    expect(found.state.digest).to.equal(state.digest);
    expect(encodeSnapshot(found.state, HEADER)).to.deep.equal(bodies);
    const record = {offset: state.nextOffset, body: '{}'};
    expect(foldRecord(found.state, record).verdict).to.deep.equal(
      foldRecord(state, record).verdict,
    );
  });

  const other = encodeSnapshot(state, {...HEADER, writer: 'n2'});
  const cases: {name: string; bodies: string[]; writer: string | undefined}[] =
    [
      {name: 'no records', bodies: [], writer: undefined},
      {
        name: 'an incomplete snapshot',
        bodies: bodies.slice(0, -1),
        writer: undefined,
      },
      {
        name: 'a snapshot without its first record',
        bodies: bodies.slice(1),
        writer: undefined,
      },
      {
        name: 'a first record repeated after a lost answer',
        bodies: [bodies[0]!, ...bodies],
        writer: 'n1',
      },
      {
        name: 'interleaved records of two writers',
        bodies: bodies.flatMap((body, part) => [other[part]!, body]),
        writer: 'n2',
      },
      {
        name: 'a corrupted snapshot before an intact one',
        bodies: [
          ...bodies.map(body => body.replace(/"data":"..../, '"data":"AAAA')),
          ...other,
        ],
        writer: 'n2',
      },
      {
        name: 'records of other formats',
        bodies: ['', '{', 'null', '{}'],
        writer: undefined,
      },
    ];
  for (const {name, bodies: records, writer} of cases) {
    it(`finds the expected snapshot given ${name}`, () => {
      expect(collect(records).newest?.header.writer).to.equal(writer);
    });
  }

  it('selects the highest offset, and the first of equal offsets', () => {
    const later = {...state, nextOffset: state.nextOffset + 1};
    const records = [
      ...encodeSnapshot(state, HEADER),
      ...encodeSnapshot(later, {...HEADER, writer: 'n2', bridge: true}),
      ...encodeSnapshot(later, {...HEADER, writer: 'n3', bridge: true}),
      ...encodeSnapshot(state, {...HEADER, writer: 'n4'}),
    ];
    expect(collect(records).newest?.header.writer).to.equal('n2');
  });
});
