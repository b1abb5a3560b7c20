/** An immutable first-in, first-out (FIFO) queue on a persistent map. */

import {PersistentMap} from './persistent-map.js';

/** An immutable FIFO queue. */
export class PersistentQueue<T> {
  private constructor(
    private readonly items: PersistentMap<string, T>,
    private readonly first: number,
    private readonly next: number,
  ) {}

  static empty<T>(): PersistentQueue<T> {
    return new PersistentQueue<T>(PersistentMap.empty(), 0, 0);
  }

  static from<T>(items: readonly T[]): PersistentQueue<T> {
    const entries = items.map((item, index) => [String(index), item] as const);
    return new PersistentQueue(PersistentMap.from(entries), 0, items.length);
  }

  get size(): number {
    return this.next - this.first;
  }

  /** The oldest item; undefined if the queue is empty. */
  peek(): T | undefined {
    return this.items.get(String(this.first));
  }

  /** Returns a queue with `item` at its end. */
  push(item: T): PersistentQueue<T> {
    const items = this.items.set(String(this.next), item);
    return new PersistentQueue(items, this.first, this.next + 1);
  }

  /** Returns a queue without its oldest item. */
  shift(): PersistentQueue<T> {
    if (this.size === 0) return this;
    const items = this.items.delete(String(this.first));
    return new PersistentQueue(items, this.first + 1, this.next);
  }

  /** All items, oldest first. */
  toArray(): T[] {
    const result: T[] = [];
    for (let index = this.first; index < this.next; index++) {
      result.push(this.items.get(String(index)) as T);
    }
    return result;
  }
}
