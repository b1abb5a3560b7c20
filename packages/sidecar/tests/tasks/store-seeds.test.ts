import type {Endpoint} from '@turmericmill/membership';
import {Store, type KeyedRecord} from '@turmericmill/platform-adapter';
import {Ok, SeededRandom} from '@turmericmill/utils';
import bunyan from 'bunyan';
import {expect} from 'chai';

import {StoreSeeds} from '../../src/tasks/store-seeds.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});
const OWN: Endpoint = {address: '10.0.0.1', port: 7_660};
const DEPTH = 100_000;

/** A store whose topic has the given entries. */
class FixedStore extends Store {
  constructor(private readonly values: readonly (string | Uint8Array)[]) {
    super();
  }

  override newest() {
    const records = this.values.map((value, offset): KeyedRecord => ({
      key: `n-${offset}`,
      value: Buffer.from(value),
      offset,
    }));
    return Promise.resolve(Ok({records, endOffset: records.length}));
  }

  override read() {
    return Promise.resolve(Ok({records: [], endOffset: 0}));
  }

  override put() {
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

describe('StoreSeeds', () => {
  for (const [name, entry] of Object.entries(ODD_ENTRIES)) {
    it(`skips an entry of another writer and keeps the others: ${name}`, async () => {
      const good: Endpoint = {address: '10.0.0.3', port: 7_660};
      const store = new FixedStore([entry, JSON.stringify(good)]);
      const random = new SeededRandom(1);
      const seeds = new StoreSeeds('n-1', OWN, store, random, SILENT);
      const endpoints = await new Promise<Endpoint[]>(resolve => {
        seeds.start(resolve);
      });
      seeds.stop();
      expect(endpoints).to.deep.equal([good]);
    });
  }
});
