/**
 * A persistent hash map: immutable, with structural sharing between versions.
 * A write copies two arrays of 32 entries and one bucket, so its cost hardly
 * grows with the map. The iteration order is unspecified but reproducible.
 */

import {hash32} from '@turmericmill/utils';

const BITS_PER_LEVEL = 5;
const ENTRIES_PER_LEVEL = 1 << BITS_PER_LEVEL;
const LEVEL_MASK = ENTRIES_PER_LEVEL - 1;

type Bucket<K, V> = ReadonlyMap<K, V> | undefined;
type Row<K, V> = readonly Bucket<K, V>[] | undefined;

/** An immutable map with string keys. */
export class PersistentMap<K extends string, V> implements ReadonlyMap<K, V> {
  private constructor(
    private readonly rows: readonly Row<K, V>[],
    readonly size: number,
  ) {}

  static empty<K extends string, V>(): PersistentMap<K, V> {
    return new PersistentMap<K, V>(new Array<Row<K, V>>(ENTRIES_PER_LEVEL), 0);
  }

  /** Creates a map from `entries`; later entries replace earlier ones. */
  static from<K extends string, V>(
    entries: Iterable<readonly [K, V]>,
  ): PersistentMap<K, V> {
    const rows: Map<K, V>[][] = [];
    let size = 0;
    for (const [key, value] of entries) {
      const {row, column} = positionOf(key);
      const buckets = (rows[row] ??= []);
      const bucket = (buckets[column] ??= new Map<K, V>());
      if (!bucket.has(key)) size++;
      bucket.set(key, value);
    }
    const allRows = Array.from(
      {length: ENTRIES_PER_LEVEL},
      (unused, row) => rows[row],
    );
    return new PersistentMap<K, V>(allRows, size);
  }

  get(key: K): V | undefined {
    return this.bucketOf(key)?.get(key);
  }

  has(key: K): boolean {
    return this.bucketOf(key)?.has(key) ?? false;
  }

  /** Returns a map in which `key` has `value`. */
  set(key: K, value: V): PersistentMap<K, V> {
    const bucket = new Map(this.bucketOf(key));
    const addedCount = bucket.has(key) ? 0 : 1;
    bucket.set(key, value);
    return this.withBucket(key, bucket, this.size + addedCount);
  }

  /** Returns a map without `key`; this map if it does not contain `key`. */
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
    const {row, column} = positionOf(key);
    return this.rows[row]?.[column];
  }

  private withBucket(
    key: K,
    bucket: Map<K, V>,
    size: number,
  ): PersistentMap<K, V> {
    const {row, column} = positionOf(key);
    const rows = [...this.rows];
    const buckets = [...(rows[row] ?? [])];
    buckets[column] = bucket.size > 0 ? bucket : undefined;
    rows[row] = buckets;
    return new PersistentMap(rows, size);
  }
}

function positionOf(key: string): {row: number; column: number} {
  const hash = hash32(key);
  return {
    row: hash & LEVEL_MASK,
    column: (hash >>> BITS_PER_LEVEL) & LEVEL_MASK,
  };
}
