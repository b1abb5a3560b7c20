/** A store in simulated time that may return from an older copy. */

import {
  CONFIG_KEY,
  Store,
  type KeyedPage,
  type KeyedRecord,
  type PollOptions,
  type StoreError,
} from '@turmericmill/platform-adapter';
import {Err, Ok, sleep, type Result} from '@turmericmill/utils';

import type {StoreEra} from '../../src/store-era.js';

/** Delay in ms of a message and of a call of the store. */
export const TRANSIT_MS = 2;
/** Bytes that a connection carries until the receiver acknowledges them. */
const CONNECTION_WINDOW_BYTES = 64 * 1024;
/** Growth of a document in the answer to `newest`, where it is in base64. */
const BASE64_GROWTH = 4 / 3;
/** Time in ms after which a call without an answer fails, beyond its wait. */
const CALL_TIMEOUT_MS = 1_500;

/** What becomes of the long polls that wait when the store returns. */
export type PollsAtReturn = 'ended' | 'hung' | 'answered' | 'stale';
type PollOutcome = 'due' | PollsAtReturn;

interface TopicRecord {
  key: string;
  value: Uint8Array;
}

/** The topic of the store, with the records of all versions. */
export class SimulatedTopic {
  private records: TopicRecord[] = [];
  private readonly polls = new Set<(outcome: PollOutcome) => void>();
  era = 1;
  /** True while the store refuses calls. */
  isAway = false;

  get endOffset(): number {
    return this.records.length;
  }

  publish(document: Uint8Array): void {
    this.write(CONFIG_KEY, document);
  }

  /** Writes a record that is no configuration. */
  writeOther(): void {
    this.write('other', Buffer.of(1));
  }

  copy(): readonly TopicRecord[] {
    return [...this.records];
  }

  returnFrom(copy: readonly TopicRecord[], polls: PollsAtReturn): void {
    this.records = [...copy];
    this.era += 1;
    this.endPolls(polls);
  }

  pageFrom(offset: number): KeyedPage {
    const records = this.records
      .slice(offset)
      .map((record, index) => ({...record, offset: offset + index}));
    return {records, endOffset: this.endOffset};
  }

  newest(): KeyedPage {
    const byKey = new Map<string, KeyedRecord>();
    for (const record of this.pageFrom(0).records) {
      byKey.set(record.key, record);
    }
    return {records: [...byKey.values()], endOffset: this.endOffset};
  }

  async poll(offset: number, waitMs: number): Promise<PollOutcome> {
    if (this.endOffset !== offset) return 'due';
    return new Promise(resolve => {
      const end = (outcome: PollOutcome) => {
        if (outcome === 'stale') {
          this.polls.delete(end);
          return;
        }
        clearTimeout(timer);
        this.polls.delete(end);
        resolve(outcome);
      };
      const startEra = this.era;
      const timer = setTimeout(() => {
        this.polls.delete(end);
        resolve(this.era === startEra ? 'due' : 'stale');
      }, waitMs);
      this.polls.add(end);
    });
  }

  private write(key: string, value: Uint8Array): void {
    this.records.push({key, value});
    this.endPolls('due');
  }

  private endPolls(outcome: PollOutcome): void {
    for (const end of [...this.polls]) end(outcome);
  }
}

export interface LinkedStoreParts {
  topic: SimulatedTopic;
  storeEra: StoreEra;
  bytesPerMs: number;
  queueMs: number;
}

/** Calls of the store over the link of one node. */
export class LinkedStore extends Store {
  calls = 0;
  /** True while no call of this node is answered. */
  isCut = false;

  constructor(private readonly parts: LinkedStoreParts) {
    super();
  }

  override async newest(): Promise<Result<KeyedPage, StoreError>> {
    const {topic} = this.parts;
    const refused = await this.request();
    return refused ?? this.receive(topic.newest(), BASE64_GROWTH, topic.era);
  }

  override async read(
    unusedTopic: string,
    from: number,
    waitMs: number,
    {signal, overdueMs = CALL_TIMEOUT_MS}: PollOptions = {},
  ): Promise<Result<KeyedPage, StoreError>> {
    const aborted = new Promise<Result<KeyedPage, StoreError>>(resolve => {
      const err = {code: 'unknown', message: 'aborted'} as const;
      signal?.addEventListener('abort', () => resolve(Err(err)));
    });
    return Promise.race([aborted, this.poll(from, waitMs, overdueMs)]);
  }

  private async poll(
    from: number,
    waitMs: number,
    overdueMs: number,
  ): Promise<Result<KeyedPage, StoreError>> {
    const {topic} = this.parts;
    const refused = await this.request();
    if (refused) return refused;
    const {era} = topic;
    const outcome = await topic.poll(from, waitMs);
    if (outcome === 'hung') await sleep(waitMs + overdueMs);
    if (outcome === 'hung' || outcome === 'ended') {
      return Err({code: 'unknown', message: outcome});
    }
    if (outcome === 'stale') {
      return this.receive({records: [], endOffset: from}, 1, era);
    }
    if (from > topic.endOffset) {
      this.parts.storeEra.observe(topic.era, 'store');
      return Err({code: 'expired', message: 'beyond the end'});
    }
    return this.receive(topic.pageFrom(from), 1, topic.era);
  }

  override put(): Promise<Result<void, StoreError>> {
    return Promise.resolve(Ok(undefined));
  }

  override close(): void {
    return;
  }

  /** Resolves with an error if the call is not carried out. */
  private async request(): Promise<Result<never, StoreError> | undefined> {
    this.calls += 1;
    const {topic, storeEra, queueMs} = this.parts;
    await sleep(TRANSIT_MS + queueMs);
    if (this.isCut) {
      await sleep(CALL_TIMEOUT_MS);
      return Err({code: 'unknown', message: 'cut'});
    }
    if (!topic.isAway) return undefined;
    await sleep(TRANSIT_MS);
    storeEra.observe(topic.era, 'store');
    return Err({code: 'unavailable', message: 'away'});
  }

  private async receive(
    page: KeyedPage,
    growth: number,
    era: number,
  ): Promise<Result<KeyedPage, StoreError>> {
    const {bytesPerMs, queueMs, storeEra} = this.parts;
    const bytes =
      growth * page.records.reduce((sum, {value}) => sum + value.length, 0);
    const transferMs = bytes / bytesPerMs;
    await sleep(TRANSIT_MS + transferMs + windowWaitMs(bytes, queueMs));
    storeEra.observe(era, 'store');
    return Ok(page);
  }
}

/** Time in ms for which a sender waits for acknowledgements of its receiver. */
export function windowWaitMs(bytes: number, receiverQueueMs: number): number {
  return Math.floor(bytes / CONNECTION_WINDOW_BYTES) * receiverQueueMs;
}
