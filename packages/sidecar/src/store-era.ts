/**
 * The era of the store that this node knows. It rises each time the store
 * returns from an older copy: what it had acknowledged since that copy is lost,
 * and offsets are given out again.
 */

import type Logger from 'bunyan';

export class StoreEra {
  private era: number | undefined;

  constructor(private readonly logger: Logger) {}

  /** The highest era of any answer; undefined while none has named one. */
  get current(): number | undefined {
    return this.era;
  }

  /** Records an era that an answer of the store names. */
  observe(era: number, source: string): void {
    const before = this.era;
    if (before !== undefined && era <= before) return;
    this.era = era;
    if (before === undefined) return;
    this.logger.warn({era, before, source}, 'store returned from a copy');
  }
}
