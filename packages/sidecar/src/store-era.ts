/**
 * The era of the store. It rises each time the store returns from an older copy:
 * what it had acknowledged since that copy is lost, and offsets are given out
 * again. Load pattern: the store is away for a moment or not at all, long polls
 * end, hang or are answered, and few hosts call the store.
 */

import type Logger from 'bunyan';

/** An era; undefined while no answer has named one. */
export type Era = number | undefined;

/**
 * True if what the store had or acknowledged in `era` may be lost, or out of
 * place, now that era `current` is known.
 */
export function isOutdated(era: Era, current: Era): boolean {
  return era !== undefined && current !== undefined && era < current;
}

/** `store`: an answer to this node has named the era. `peer`: another node. */
export type EraSource = 'store' | 'peer';

type RiseListener = (source: EraSource) => void;

/** The highest era that this node knows. */
export class StoreEra {
  private era: Era;
  private readonly listeners = new Set<RiseListener>();

  constructor(private readonly logger: Logger) {}

  get current(): Era {
    return this.era;
  }

  /** Calls `listener` at each rise; returns a function that ends this. */
  onRise(listener: RiseListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  observe(era: number, source: EraSource): void {
    const before = this.era;
    if (before !== undefined && era <= before) return;
    this.era = era;
    if (before === undefined) return;
    this.logger.warn({era, before, source}, 'store returned from a copy');
    for (const listener of [...this.listeners]) listener(source);
  }
}
