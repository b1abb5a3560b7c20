/** A topic of the stand-in for the platform's store. */

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** The newest record of a key. */
export interface NewestRecord {
  value: Buffer;
  offset: number;
}

/** Place of a write among those of its producer. */
export interface ProducerWrite {
  epoch: number;
  sequence: number;
}

export type WriteCheck = 'accepted' | 'fenced' | 'duplicate' | 'out-of-order';

/** How a long poll goes on; `due`: a record has arrived, or the wait is over. */
export type PollOutcome = 'due' | 'ended' | 'hung' | 'answered';

export class StoreTopic {
  /** Records from `firstOffset` on, without their length prefixes. */
  private records: Buffer[] = [];
  private firstOffset = 0;
  private readonly newestByKey = new Map<string, NewestRecord>();
  private readonly polls = new Set<(outcome: PollOutcome) => void>();
  /** Last write of each producer. */
  private readonly writes = new Map<string, ProducerWrite>();

  get first(): number {
    return this.firstOffset;
  }

  get end(): number {
    return this.firstOffset + this.records.length;
  }

  /** Returns a copy that nobody waits at. */
  copy(): StoreTopic {
    const topic = new StoreTopic();
    topic.records = [...this.records];
    topic.firstOffset = this.firstOffset;
    for (const entry of this.newestByKey) topic.newestByKey.set(...entry);
    for (const entry of this.writes) topic.writes.set(...entry);
    return topic;
  }

  put(key: string, value: string | Buffer): void {
    const keyBytes = Buffer.from(key);
    const length = Buffer.from([keyBytes.length]);
    this.append(Buffer.concat([length, keyBytes, Buffer.from(value)]));
  }

  append(content: Buffer): void {
    const offset = this.end;
    this.records.push(content);
    const keyLength = content[0] ?? 0;
    const key = content.toString('utf8', 1, 1 + keyLength);
    const value = content.subarray(1 + keyLength);
    this.newestByKey.set(key, {value, offset});
    this.endPolls('due');
  }

  /** Appends records that each begin with their length. */
  appendAll(body: Buffer): void {
    for (let at = 0; at < body.length;) {
      const begin = at + LENGTH_BYTES;
      const length = body.readUInt32BE(at);
      this.append(body.subarray(begin, begin + length));
      at = begin + length;
    }
  }

  /** Removes the history but keeps the newest value of each key. */
  trim(): void {
    this.firstOffset += this.records.length;
    this.records = [];
    this.endPolls('due');
  }

  /**
   * Checks the place of a write among those of its producer; a new epoch may
   * start at any sequence.
   */
  checkWrite(producer: string, {epoch, sequence}: ProducerWrite): WriteCheck {
    const last = this.writes.get(producer);
    if (last && epoch < last.epoch) return 'fenced';
    if (last?.epoch === epoch && sequence !== last.sequence + 1) {
      return sequence <= last.sequence ? 'duplicate' : 'out-of-order';
    }
    this.writes.set(producer, {epoch, sequence});
    return 'accepted';
  }

  /** Returns the newest records in the order of their keys, after a key. */
  newest(after: string): [string, NewestRecord][] {
    return [...this.newestByKey]
      .filter(([key]) => key > after)
      .sort(([a], [b]) => (a < b ? -1 : 1));
  }

  /** Returns the end, the first offset and the records from `from` on. */
  page(from: number): Buffer {
    const offsets = Buffer.alloc(2 * OFFSET_BYTES);
    offsets.writeBigUInt64BE(BigInt(this.end), 0);
    offsets.writeBigUInt64BE(BigInt(this.firstOffset), OFFSET_BYTES);
    const parts = this.records
      .slice(from - this.firstOffset)
      .flatMap(record => {
        const length = Buffer.alloc(LENGTH_BYTES);
        length.writeUInt32BE(record.length, 0);
        return [length, record];
      });
    return Buffer.concat([offsets, ...parts]);
  }

  /** Waits for a record, `waitMs` at most. */
  poll(waitMs: number): Promise<PollOutcome> {
    return new Promise(resolve => {
      const done = (outcome: PollOutcome) => {
        clearTimeout(timer);
        this.polls.delete(done);
        resolve(outcome);
      };
      const timer = setTimeout(() => done('due'), waitMs);
      this.polls.add(done);
    });
  }

  endPolls(outcome: PollOutcome): void {
    for (const done of this.polls) done(outcome);
  }
}
