/**
 * Random sources. Decision logic receives a source; only tests and executables
 * create one.
 */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of pseudo-random numbers. */
export abstract class RandomSource {
  /** Returns a number in [0, 1). */
  abstract next(): number;

  /** Returns an integer in [0, `bound`). */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns one of `items`; undefined if there are none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.nextInt(items.length)];
  }

  /** Returns up to `count` different items, in random order. */
  sample<T>(items: readonly T[], count: number): T[] {
    const pool = [...items];
    const chosen: T[] = [];
    while (chosen.length < count && pool.length > 0) {
      const index = this.nextInt(pool.length);
      const last = pool.pop() as T;
      if (index === pool.length) {
        chosen.push(last);
      } else {
        chosen.push(pool[index] as T);
        pool[index] = last;
      }
    }
    return chosen;
  }

  /** Full jitter: a delay in ms, uniform between 0 and the capped backoff. */
  jitter(baseMs: number, attempt: number, capMs: number): number {
    return this.next() * Math.min(capMs, baseMs * 2 ** attempt);
  }
}

/** A reproducible source that depends on its seed alone. */
export class SeededRandom extends RandomSource {
  private readonly generator;

  constructor(seed: number) {
    super();
    this.generator = xoroshiro128plus(seed);
  }

  override next(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }
}

/** The source of the JavaScript runtime, for executables. */
export class SystemRandom extends RandomSource {
  override next(): number {
    return Math.random();
  }
}
