/**
 * An immutable map with cheap copies. A write copies two small arrays and one
 * bucket, so that its cost hardly grows with the map; every earlier map stays
 * as it was. Iteration is in no particular but reproducible order.
 */

import {hash32} from '@turmericmill/utils';

const WIDTH_BITS = 5;
const WIDTH = 1 << WIDTH_BITS;
const MASK = WIDTH - 1;

type Bucket<K, V> = ReadonlyMap<K, V> | undefined;
type Row<K, V> = readonly Bucket<K, V>[] | undefined;

/** An immutable map from strings. */
export class PersistentMap<K extends string, V> implements ReadonlyMap<K, V> {
  private constructor(
    private readonly rows: readonly Row<K, V>[],
    readonly size: number,
  ) {}

  static empty<K extends string, V>(): PersistentMap<K, V> {
    return new PersistentMap<K, V>(new Array<Row<K, V>>(WIDTH), 0);
  }

  /** Builds a map of `entries`; later entries replace earlier ones. */
  static from<K extends string, V>(
    entries: Iterable<readonly [K, V]>,
  ): PersistentMap<K, V> {
    const rows: Map<K, V>[][] = [];
    let size = 0;
    for (const [key, value] of entries) {
      const {row, column} = slotOf(key);
      const buckets = (rows[row] ??= []);
      const bucket = (buckets[column] ??= new Map<K, V>());
      if (!bucket.has(key)) size++;
      bucket.set(key, value);
    }
    const full = Array.from({length: WIDTH}, (unused, row) => rows[row]);
    return new PersistentMap<K, V>(full, size);
  }

  get(key: K): V | undefined {
    return this.bucketOf(key)?.get(key);
  }

  has(key: K): boolean {
    return this.bucketOf(key)?.has(key) ?? false;
  }

  /** A map in which `key` has `value`. */
  set(key: K, value: V): PersistentMap<K, V> {
    const bucket = new Map(this.bucketOf(key));
    const added = bucket.has(key) ? 0 : 1;
    bucket.set(key, value);
    return this.withBucket(key, bucket, this.size + added);
  }

  /** A map without `key`; this map if it has no such key. */
  delete(key: K): PersistentMap<K, V> {
    const present = this.bucketOf(key);
    if (!present?.has(key)) return this;
    const bucket = new Map(present);
    bucket.delete(key);
    return this.withBucket(key, bucket, this.size - 1);
  }

  forEach(callback: (value: V, key: K, map: ReadonlyMap<K, V>) => void): void {
    for (const [key, value] of this) callback(value, key, this);
  }

  *entries(): MapIterator<[K, V]> {
    for (const row of this.rows) {
      for (const bucket of row ?? []) {
        if (bucket) yield* bucket.entries();
      }
    }
  }

  *keys(): MapIterator<K> {
    for (const [key] of this.entries()) yield key;
  }

  *values(): MapIterator<V> {
    for (const [, value] of this.entries()) yield value;
  }

  [Symbol.iterator](): MapIterator<[K, V]> {
    return this.entries();
  }

  private bucketOf(key: K): Bucket<K, V> {
    const {row, column} = slotOf(key);
    return this.rows[row]?.[column];
  }

  private withBucket(
    key: K,
    bucket: Map<K, V>,
    size: number,
  ): PersistentMap<K, V> {
    const {row, column} = slotOf(key);
    const rows = [...this.rows];
    const buckets = [...(rows[row] ?? [])];
    buckets[column] = bucket.size > 0 ? bucket : undefined;
    rows[row] = buckets;
    return new PersistentMap(rows, size);
  }
}

function slotOf(key: string): {row: number; column: number} {
  const hash = hash32(key);
  return {row: hash & MASK, column: (hash >>> WIDTH_BITS) & MASK};
}
