/** A topic of entries in simulated time that may return from an older copy. */

import {
  Store,
  type KeyedPage,
  type StoreError,
  type WriteFence,
} from '@turmericmill/platform-adapter';
import {Err, Ok, sleep, type Result} from '@turmericmill/utils';

import type {StoreEra} from '../../src/store-era.js';

/** Delay in ms of a call, in each direction. */
const TRANSIT_MS = 2;
/** Time in ms after which a call without an answer fails. */
const CALL_TIMEOUT_MS = 1_500;

interface TopicState {
  values: Map<string, Uint8Array>;
  epochs: Map<string, number>;
}

function copyOf({values, epochs}: TopicState): TopicState {
  return {values: new Map(values), epochs: new Map(epochs)};
}

/** The store that all nodes call. */
export class ReturningTopic {
  private state: TopicState = {values: new Map(), epochs: new Map()};
  era = 1;
  /** True while calls are refused. */
  isAway = false;
  /** Time in ms after which writes are carried out, without an answer. */
  lateMs: number | undefined;
  /** Times in ms of all writes that have arrived. */
  readonly writeTimesMs: number[] = [];

  copy(): TopicState {
    return copyOf(this.state);
  }

  returnFrom(copy: TopicState): void {
    this.state = copyOf(copy);
    this.era += 1;
  }

  entries(): [string, Uint8Array][] {
    return [...this.state.values];
  }

  /** Returns false if a write of a higher epoch was made. */
  write(key: string, value: Uint8Array, fence?: WriteFence): boolean {
    const {values, epochs} = this.state;
    if (fence) {
      if (fence.epoch < (epochs.get(fence.producer) ?? 0)) return false;
      epochs.set(fence.producer, fence.epoch);
    }
    values.set(key, value);
    return true;
  }
}

/** Calls of one node. */
export class ReturningStore extends Store {
  constructor(
    private readonly topic: ReturningTopic,
    private readonly storeEra: StoreEra,
    private readonly now: () => number,
  ) {
    super();
  }

  override async newest(): Promise<Result<KeyedPage, StoreError>> {
    const refused = await this.request();
    if (refused) return refused;
    const records = this.topic
      .entries()
      .map(([key, value], offset) => ({key, value, offset}));
    await this.answer();
    return Ok({records, endOffset: records.length});
  }

  override read(): Promise<Result<KeyedPage, StoreError>> {
    return Promise.resolve(Ok({records: [], endOffset: 0}));
  }

  override async put(
    unusedTopic: string,
    key: string,
    value: Uint8Array,
    fence?: WriteFence,
  ): Promise<Result<void, StoreError>> {
    const {topic} = this;
    topic.writeTimesMs.push(this.now());
    const refused = await this.request();
    if (refused) return refused;
    const {lateMs} = topic;
    if (lateMs !== undefined) {
      setTimeout(() => topic.write(key, value, fence), lateMs);
      await sleep(CALL_TIMEOUT_MS);
      return Err({code: 'unknown', message: 'no answer'});
    }
    const isWritten = topic.write(key, value, fence);
    await this.answer();
    if (isWritten) return Ok(undefined);
    return Err({code: 'fenced', message: 'a higher epoch'});
  }

  override close(): void {
    return;
  }

  private async request(): Promise<Result<never, StoreError> | undefined> {
    await sleep(TRANSIT_MS);
    if (!this.topic.isAway) return undefined;
    await this.answer();
    return Err({code: 'unavailable', message: 'away'});
  }

  /** An answer names the era of its arrival at the latest. */
  private async answer(): Promise<void> {
    await sleep(TRANSIT_MS);
    this.storeEra.observe(this.topic.era, 'store');
  }
}
