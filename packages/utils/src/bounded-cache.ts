/** Caches with a maximum number of entries, but no cost while empty. */

import {LRUCache} from 'lru-cache';

/** A cache that evicts the least recently used entry. */
export type BoundedCache<
  K extends object | string,
  V extends object | number | boolean,
> = LRUCache<K, V>;

/**
 * Creates a cache of at most `maxEntries` entries. It limits the total size,
 * with a size of 1 for each entry, because the library allocates and fills
 * memory for a maximum number of entries in advance. That takes 17 ms for 10,000
 * entries at process start.
 */
export function boundedCache<
  K extends object | string,
  V extends object | number | boolean,
>(maxEntries: number): BoundedCache<K, V> {
  return new LRUCache<K, V>({maxSize: maxEntries, sizeCalculation: () => 1});
}
