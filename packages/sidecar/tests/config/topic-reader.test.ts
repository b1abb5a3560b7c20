import {
  CONFIG_KEY,
  Store,
  type KeyedPage,
  type StoreError,
} from '@turmericmill/platform-adapter';
import {Err, ManualClock, Ok, type Result} from '@turmericmill/utils';
import bunyan from 'bunyan';
import {expect} from 'chai';

import {TopicReader} from '../../src/config/topic-reader.js';
import {StoreEra} from '../../src/store-era.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});
const WAIT_MS = 500;
const OVERDUE_MS = 600;

/** An answer of the store, and the eras that become known until it is here. */
interface Answer {
  eras?: readonly number[];
  error?: StoreError['code'];
  /** Offset after the records of the page. */
  end?: number;
  records?: number;
}

/** Answers in order; writes down the calls. */
class AnsweringStore extends Store {
  readonly calls: string[] = [];

  constructor(
    private readonly storeEra: StoreEra,
    private readonly answers: Answer[],
  ) {
    super();
  }

  override newest(): Promise<Result<KeyedPage, StoreError>> {
    this.calls.push('newest');
    return this.answer();
  }

  override read(
    unusedTopic: string,
    from: number,
  ): Promise<Result<KeyedPage, StoreError>> {
    this.calls.push(`read ${from}`);
    return this.answer();
  }

  override put(): Promise<Result<void, StoreError>> {
    return Promise.resolve(Ok(undefined));
  }

  override close(): void {
    return;
  }

  private answer(): Promise<Result<KeyedPage, StoreError>> {
    const {eras = [], error, end = 0, records = 0} = this.answers.shift() ?? {};
    for (const era of eras) this.storeEra.observe(era, 'store');
    if (error) return Promise.resolve(Err({code: error, message: error}));
    const values = Array.from({length: records}, (unused, i) => ({
      key: CONFIG_KEY,
      value: Buffer.of(1),
      offset: end - records + i,
    }));
    return Promise.resolve(Ok({records: values, endOffset: end}));
  }
}

interface Case {
  answers: Answer[];
  results: string[];
  /** Calls, and the one that follows them. */
  calls: string[];
}

const CASES: Record<string, Case> = {
  'goes on from the end of what it has read': {
    answers: [{eras: [1], end: 4, records: 1}, {end: 4}, {end: 6, records: 2}],
    results: ['changed', 'unchanged', 'changed'],
    calls: ['newest', 'read 4', 'read 4', 'read 6'],
  },
  'goes on at a store that names no era': {
    answers: [{end: 4, records: 1}, {end: 4}],
    results: ['changed', 'unchanged'],
    calls: ['newest', 'read 4', 'read 4'],
  },
  'takes no position from an answer that shows a return': {
    answers: [
      {eras: [1], end: 4, records: 1},
      {eras: [2], end: 4},
      {end: 3, records: 1},
    ],
    results: ['changed', 'superseded', 'changed'],
    calls: ['newest', 'read 4', 'newest', 'read 3'],
  },
  'takes no position from records of a store that has returned': {
    answers: [
      {eras: [1], end: 4, records: 1},
      {eras: [2], end: 6, records: 2},
      {end: 6, records: 1},
    ],
    results: ['changed', 'superseded', 'changed'],
    calls: ['newest', 'read 4', 'newest', 'read 6'],
  },
  'reads the newest document once more if the store returns meanwhile': {
    answers: [{eras: [1, 2], end: 4, records: 1}, {eras: [4]}, {end: 2}],
    results: ['changed', 'superseded', 'changed'],
    calls: ['newest', 'read 4', 'newest', 'read 2'],
  },
  'counts a failure that shows a return as none': {
    answers: [
      {eras: [1], end: 4, records: 1},
      {eras: [2], error: 'expired'},
      {end: 2, records: 1},
    ],
    results: ['changed', 'superseded', 'changed'],
    calls: ['newest', 'read 4', 'newest', 'read 2'],
  },
  'keeps its position when an answer of before names an older era': {
    answers: [
      {eras: [3], end: 4, records: 1},
      {eras: [2], end: 4},
    ],
    results: ['changed', 'unchanged'],
    calls: ['newest', 'read 4', 'read 4'],
  },
  'reads the newest document after a failure': {
    answers: [{end: 4, records: 1}, {error: 'expired'}, {end: 2}],
    results: ['changed', 'failed', 'changed'],
    calls: ['newest', 'read 4', 'newest', 'read 2'],
  },
};

describe('TopicReader', () => {
  function create(answers: readonly Answer[]) {
    const storeEra = new StoreEra(SILENT);
    const store = new AnsweringStore(storeEra, [...answers]);
    const clock = new ManualClock(1_000);
    const times = {readWaitMs: WAIT_MS, readOverdueMs: OVERDUE_MS};
    const parts = {store, storeEra, clock, logger: SILENT, times};
    return {store, storeEra, reader: new TopicReader(parts)};
  }

  for (const [name, {answers, results, calls}] of Object.entries(CASES)) {
    it(name, async () => {
      const {store, reader} = create(answers);
      const seen: string[] = [];
      while (seen.length < results.length) {
        seen.push((await reader.read()).result);
      }
      await reader.read();
      expect(seen).to.deep.equal(results);
      expect(store.calls).to.deep.equal(calls);
    });
  }

  it('drops its position once a notice tells of a return', async () => {
    const {store, storeEra, reader} = create([{eras: [1], end: 4}]);
    await reader.read();
    storeEra.observe(2, 'peer');
    await reader.read();
    expect(store.calls).to.deep.equal(['newest', 'newest']);
  });

  it('counts failures in a row, without those that show a return', async () => {
    const {reader} = create([
      {eras: [1], error: 'unavailable'},
      {error: 'unknown'},
      {eras: [2], error: 'unknown'},
    ]);
    for (let i = 0; i < 3; i++) await reader.read();
    expect(reader.failures).to.equal(2);
    await reader.read();
    expect(reader.failures).to.equal(0);
  });
});
