/**
 * Reads the topic of the configuration: first the newest document alone, which
 * is a fraction of all that were published, then each record that follows.
 */

import {
  CONFIG_TOPIC,
  type KeyedPage,
  type Store,
} from '@turmericmill/platform-adapter';
import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import type {StoreRead} from './source-choice.js';

export interface TopicReaderParts {
  store: Store;
  clock: Clock;
  logger: Logger;
  /** Time in ms for which a read waits at the store for a change; an integer. */
  waitMs: number;
}

/** `unchanged`: a read that waits for changes has brought none. */
export type TopicRead =
  | {result: 'failed'}
  | {result: 'changed' | 'unchanged'; page: KeyedPage; timing: StoreRead};

export class TopicReader {
  /** Offset of the next read; undefined if that gets only the newest document. */
  private offset: number | undefined;
  private failureCount = 0;
  private isStoreLost = false;

  constructor(private readonly parts: TopicReaderParts) {}

  /** Number of reads that have failed since the last one that did not. */
  get failures(): number {
    return this.failureCount;
  }

  /** The next read gets only the newest document, as after a pause. */
  reset(): void {
    this.offset = undefined;
  }

  async read(): Promise<TopicRead> {
    const {store, clock, logger} = this.parts;
    const {offset} = this;
    const waitMs = offset === undefined ? 0 : this.parts.waitMs;
    const sentMs = clock.now();
    const page =
      offset === undefined
        ? await store.newest(CONFIG_TOPIC)
        : await store.read(CONFIG_TOPIC, offset, waitMs);
    if (page.isErr()) {
      this.offset = undefined;
      this.failureCount += 1;
      if (!this.isStoreLost) logger.warn({err: page.error}, 'store lost');
      this.isStoreLost = true;
      return {result: 'failed'};
    }
    if (this.isStoreLost) logger.info('store regained');
    this.isStoreLost = false;
    this.failureCount = 0;
    this.offset = page.value.endOffset;
    const isUnchanged = offset !== undefined && page.value.records.length === 0;
    const receivedMs = clock.now();
    return {
      result: isUnchanged ? 'unchanged' : 'changed',
      page: page.value,
      timing: {sentMs, receivedMs, waitMs, isUnchanged},
    };
  }
}
