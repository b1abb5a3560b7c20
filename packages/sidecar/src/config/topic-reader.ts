/**
 * Reads the topic of the configuration: first the newest document alone, which
 * is a fraction of all that were published, then each record that follows.
 */

import {
  CONFIG_TOPIC,
  type KeyedPage,
  type Store,
  type StoreError,
} from '@turmericmill/platform-adapter';
import type {Clock, Result} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {isOutdated, type Era, type StoreEra} from '../store-era.js';
import type {SourceTimes, StoreRead} from './source-choice.js';

export interface TopicReaderParts {
  store: Store;
  storeEra: StoreEra;
  clock: Clock;
  logger: Logger;
  /**
   * A read that hangs must end in time for another one: until then this node
   * learns of no change, and takes over from no other.
   */
  times: Pick<SourceTimes, 'readWaitMs' | 'readOverdueMs'>;
}

/**
 * `unchanged`: a read that waits for changes has brought none. `superseded`: the
 * store returned from a copy meanwhile, so that nothing is known of its records.
 */
export type TopicRead =
  | {result: 'failed' | 'superseded'}
  | {result: 'changed' | 'unchanged'; page: KeyedPage; timing: StoreRead};

/** An offset, and the era in which the store had all records before it. */
interface Position {
  offset: number;
  era: Era;
}

export class TopicReader {
  /** Undefined if the next read gets only the newest document. */
  private position: Position | undefined;
  private failureCount = 0;
  private isStoreLost = false;

  constructor(private readonly parts: TopicReaderParts) {}

  /** Number of reads that have failed since the last one that did not. */
  get failures(): number {
    return this.failureCount;
  }

  /** The next read gets only the newest document, as after a pause. */
  reset(): void {
    this.position = undefined;
  }

  async read(): Promise<TopicRead> {
    const {clock, storeEra} = this.parts;
    const era = storeEra.current;
    const offset = this.offsetIn(era);
    const waitMs = offset === undefined ? 0 : this.parts.times.readWaitMs;
    const sentMs = clock.now();
    const page = await this.request(offset);
    this.position = undefined;
    if (isOutdated(era, storeEra.current)) return {result: 'superseded'};
    if (page.isErr()) {
      this.recordFailure(page.error);
      return {result: 'failed'};
    }
    this.recordSuccess();
    this.position = {offset: page.value.endOffset, era: storeEra.current};
    const isUnchanged = offset !== undefined && page.value.records.length === 0;
    const receivedMs = clock.now();
    return {
      result: isUnchanged ? 'unchanged' : 'changed',
      page: page.value,
      timing: {sentMs, receivedMs, waitMs, isUnchanged},
    };
  }

  private offsetIn(era: Era): number | undefined {
    const {position} = this;
    if (!position || isOutdated(position.era, era)) return undefined;
    return position.offset;
  }

  /** A long poll ends once the store is known to have returned from a copy. */
  private async request(
    offset: number | undefined,
  ): Promise<Result<KeyedPage, StoreError>> {
    const {store, storeEra, times} = this.parts;
    const {readWaitMs, readOverdueMs: overdueMs} = times;
    if (offset === undefined) return store.newest(CONFIG_TOPIC);
    const abort = new AbortController();
    const unsubscribe = storeEra.onRise(() => abort.abort());
    try {
      const options = {signal: abort.signal, overdueMs};
      return await store.read(CONFIG_TOPIC, offset, readWaitMs, options);
    } finally {
      unsubscribe();
    }
  }

  private recordFailure(err: StoreError): void {
    this.failureCount += 1;
    if (!this.isStoreLost) this.parts.logger.warn({err}, 'store lost');
    this.isStoreLost = true;
  }

  private recordSuccess(): void {
    this.failureCount = 0;
    if (this.isStoreLost) this.parts.logger.info('store regained');
    this.isStoreLost = false;
  }
}
