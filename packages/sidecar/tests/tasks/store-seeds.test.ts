import type {Endpoint, ServerStart} from '@turmericmill/membership';
import {Store, type KeyedRecord} from '@turmericmill/platform-adapter';
import {
  Err,
  ManualClock,
  Ok,
  SeededRandom,
  type Clock,
} from '@turmericmill/utils';
import bunyan from 'bunyan';
import {expect} from 'chai';

import {StoreEra} from '../../src/store-era.js';
import {StoreSeeds} from '../../src/tasks/store-seeds.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});
const OWN: Endpoint = {address: '10.0.0.1', port: 7_660};
const DEPTH = 100_000;

/** Time in ms that exceeds the delay of another read. */
const REREAD_MS = 1_700;
/** Time in ms within which a write is tried again. */
const FLUSH_MS = 2_000;

interface WrittenEntry extends Endpoint {
  departed: unknown[];
  epoch: number;
}

/** A store whose topic has the given entries, by key. */
class FixedStore extends Store {
  /** Calls of the store, in order. */
  readonly calls: string[] = [];
  readonly written: WrittenEntry[] = [];
  /** True while writes are refused. */
  isBusy = false;

  constructor(
    private readonly entries: Readonly<Record<string, string | Uint8Array>>,
  ) {
    super();
  }

  override newest() {
    this.calls.push('newest');
    const records = Object.entries(this.entries).map(
      ([key, value], offset): KeyedRecord => ({
        key,
        value: Buffer.from(value),
        offset,
      }),
    );
    return Promise.resolve(Ok({records, endOffset: records.length}));
  }

  override read() {
    return Promise.resolve(Ok({records: [], endOffset: 0}));
  }

  override put(topic: string, key: string, value: Uint8Array) {
    this.calls.push('put');
    if (this.isBusy) {
      const code = 'unavailable' as const;
      return Promise.resolve(Err({code, message: 'busy'}));
    }
    this.written.push(
      JSON.parse(Buffer.from(value).toString()) as WrittenEntry,
    );
    return Promise.resolve(Ok(undefined));
  }

  override close(): void {
    return;
  }
}

const ODD_ENTRIES: Record<string, string | Uint8Array> = {
  'bytes that are no text': Buffer.from([0xff, 0xfe, 0x00]),
  'a value that is no object': '7',
  'no value': '',
  null: 'null',
  'a list': '["10.0.0.2", 7660]',
  'very deeply nested lists': '['.repeat(DEPTH) + ']'.repeat(DEPTH),
  'a very deeply nested address': `{"address":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)},"port":7660}`,
  'an address that is a name': '{"address":"a.example","port":7660}',
  'an address that is a number': '{"address":7,"port":7660}',
  'no port': '{"address":"10.0.0.2"}',
  'a port of 0': '{"address":"10.0.0.2","port":0}',
  'a port out of range': '{"address":"10.0.0.2","port":65536}',
  'a negative port': '{"address":"10.0.0.2","port":-1}',
  'a port that is a fraction': '{"address":"10.0.0.2","port":7660.5}',
  'a port that is text': '{"address":"10.0.0.2","port":"7660"}',
  'a number that is too large': '{"address":"10.0.0.2","port":1e400}',
};

interface StartOptions {
  isFirstStart?: boolean;
  hostCount?: number;
  storeEra?: StoreEra;
  clock?: Clock;
  onDeparted?: (departed: readonly ServerStart[]) => void;
}

function createSeeds(
  store: Store,
  {
    isFirstStart = false,
    hostCount = 2,
    storeEra = new StoreEra(SILENT),
    clock = new ManualClock(1_000),
    onDeparted = () => undefined,
  }: StartOptions = {},
): StoreSeeds {
  return new StoreSeeds({
    nodeId: 'n-own',
    own: OWN,
    isFirstStart,
    store,
    storeEra,
    clock,
    random: new SeededRandom(1),
    logger: SILENT,
    hostCount: () => hostCount,
    onDeparted,
  });
}

describe('StoreSeeds', () => {
  const OTHER = {'n-1': '{"address":"10.0.0.3","port":7660}'};
  const KNOWN = {...OTHER, 'n-own': JSON.stringify(OWN)};
  const MOVED = {...OTHER, 'n-own': '{"address":"10.0.0.9","port":7660}'};
  const STARTS: Record<
    string,
    {entries: Record<string, string>; calls: string[]} & StartOptions
  > = {
    'the first start of the fleet writes, then reads': {
      entries: KNOWN,
      isFirstStart: true,
      calls: ['put', 'newest'],
    },
    'a new node reads, then writes': {
      entries: OTHER,
      calls: ['newest', 'put'],
    },
    'a node that starts again only reads': {entries: KNOWN, calls: ['newest']},
    'a node at a new address writes it': {
      entries: MOVED,
      calls: ['newest', 'put'],
    },
    'a node that is alone reads again': {
      entries: KNOWN,
      hostCount: 1,
      calls: ['newest', 'newest'],
    },
  };
  for (const [name, {entries, calls, ...options}] of Object.entries(STARTS)) {
    it(name, async () => {
      const store = new FixedStore(entries);
      const seeds = createSeeds(store, options);
      seeds.start(() => undefined);
      await new Promise(resolve => setTimeout(resolve, REREAD_MS));
      seeds.stop();
      expect(store.calls).to.deep.equal(calls);
    });
  }

  const LEFT = {serverId: 'i-1', bornMs: 500};

  it('restores the departures that its entry names, without odd ones', async () => {
    const departed = [LEFT, 7, {serverId: 'i-2'}, {bornMs: 1}, null];
    const own = JSON.stringify({...OWN, departed, epoch: 9});
    const restored = await new Promise(resolve => {
      createSeeds(new FixedStore({'n-own': own}), {
        onDeparted: resolve,
      }).start(() => undefined);
    });
    expect(restored).to.deep.equal([LEFT]);
  });

  it('writes departures with a higher epoch each time', async () => {
    const store = new FixedStore({'n-own': JSON.stringify(OWN)});
    const seeds = createSeeds(store);
    await seeds.saveDeparted([LEFT]);
    await seeds.saveDeparted([LEFT, {serverId: 'i-2', bornMs: 900}]);
    const [first, second] = store.written;
    expect(first).to.deep.include({...OWN, departed: [LEFT]});
    expect(second!.departed).to.have.length(2);
    expect(second!.epoch).to.be.above(first!.epoch);
  });

  describe('while the store refuses writes', () => {
    // The store may be back before the process ends: nothing else keeps it.
    it('continues to write a departure after the stop', async () => {
      const store = new FixedStore({'n-own': JSON.stringify(OWN)});
      store.isBusy = true;
      const seeds = createSeeds(store);
      const saved = seeds.saveDeparted([LEFT]);
      seeds.stop();
      setTimeout(() => (store.isBusy = false), 100);
      await seeds.flush(1_000 + FLUSH_MS);
      expect(await saved).to.equal(true);
      expect(store.written.at(-1)).to.deep.include({departed: [LEFT]});
    });

    it('gives up at the deadline and tells that nothing is stored', async () => {
      const store = new FixedStore({'n-own': JSON.stringify(OWN)});
      store.isBusy = true;
      const seeds = createSeeds(store);
      const saved = seeds.saveDeparted([LEFT]);
      seeds.stop();
      await seeds.flush(1_000 + 100);
      store.isBusy = false;
      expect(await saved).to.equal(false);
      expect(store.written).to.deep.equal([]);
    });
  });

  for (const [name, entry] of Object.entries(ODD_ENTRIES)) {
    it(`skips an entry of another writer and keeps the others: ${name}`, async () => {
      const good: Endpoint = {address: '10.0.0.3', port: 7_660};
      const entries = {'n-0': entry, 'n-1': JSON.stringify(good)};
      const seeds = createSeeds(new FixedStore(entries));
      const endpoints = await new Promise<Endpoint[]>(resolve => {
        seeds.start(resolve);
      });
      seeds.stop();
      expect(endpoints).to.deep.equal([good]);
    });
  }
});
