/** Stand-in for the platform's store: keyed topics over HTTP, with faults. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const PAGE_ITEMS = 500;
const WHOLE_NUMBER = /^\d+$/;

/** Faults that the store simulates; all are off by default. */
export interface StoreFaults {
  /** Every call is refused with 503. */
  down: boolean;
  /** No call is answered. */
  silent: boolean;
  /** Appends are stored, but the connection is closed without an answer. */
  loseAnswers: boolean;
  /** Every call is refused with 429. */
  busy: boolean;
}

interface Topic {
  /** Records from `firstOffset` on, without their length prefixes. */
  records: Buffer[];
  firstOffset: number;
  newestByKey: Map<string, {value: Buffer; offset: number}>;
  waitingReaders: Set<() => void>;
  /** Highest epoch of each producer. */
  epochs: Map<string, number>;
}

export class StoreServer {
  readonly faults: StoreFaults = {
    down: false,
    silent: false,
    loseAnswers: false,
    busy: false,
  };
  /** Number of calls by path. */
  readonly calls = new Map<string, number>();
  private readonly topics = new Map<string, Topic>();
  private readonly server = createServer((req, res) => {
    void this.handleRequest(req, res);
  });

  constructor(private readonly pageItems = PAGE_ITEMS) {}

  async listen(address = '127.0.0.1'): Promise<number> {
    await new Promise<void>(resolve => {
      this.server.listen(0, address, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Appends a record, as the operator or a server would. */
  put(topic: string, key: string, value: string | Buffer): void {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      Buffer.from(value),
    ]);
    this.append(this.topic(topic), content);
  }

  /** Removes the history of a topic but keeps the newest value of each key. */
  trimHistory(name: string): void {
    const topic = this.topic(name);
    topic.firstOffset += topic.records.length;
    topic.records = [];
    wakeReaders(topic);
  }

  private async handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const path = url.pathname;
    this.calls.set(path, (this.calls.get(path) ?? 0) + 1);
    const {down, silent, busy} = this.faults;
    if (silent) return;
    if (down || busy) {
      send(res, down ? 503 : 429, {error: 'refused'});
      return;
    }
    const topic = this.topic(url.searchParams.get('topic') ?? '');
    if (path === '/api/log-append') {
      await this.handleAppend(req, res, topic);
    } else if (path === '/api/log-newest') {
      this.handleNewest(res, topic, url.searchParams.get('after') ?? '');
    } else if (path === '/api/log-read') {
      const from = url.searchParams.get('from') ?? '';
      const waitMs = url.searchParams.get('wait_ms') ?? '0';
      if (!WHOLE_NUMBER.test(from) || !WHOLE_NUMBER.test(waitMs)) {
        send(res, 400, {error: 'from and wait_ms are whole numbers'});
        return;
      }
      await this.handleRead(res, topic, Number(from), Number(waitMs));
    } else {
      send(res, 404, {error: 'no such call'});
    }
  }

  private async handleAppend(
    req: IncomingMessage,
    res: ServerResponse,
    topic: Topic,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    if (!this.acceptEpoch(req.url ?? '', topic)) {
      send(res, 409, {why: 'fenced'});
      return;
    }
    const body = Buffer.concat(chunks);
    const offset = topic.firstOffset + topic.records.length;
    for (let at = 0; at < body.length;) {
      const length = body.readUInt32BE(at);
      const begin = at + LENGTH_BYTES;
      this.append(topic, body.subarray(begin, begin + length));
      at = begin + length;
    }
    if (this.faults.loseAnswers) {
      res.destroy();
      return;
    }
    const endOffset = topic.firstOffset + topic.records.length;
    send(res, 200, {offset, end_offset: endOffset});
  }

  /** False if a write of a higher epoch of the same producer was made. */
  private acceptEpoch(path: string, {epochs}: Topic): boolean {
    const {searchParams} = new URL(path, 'http://store');
    const producer = searchParams.get('producer');
    if (producer === null) return true;
    const epoch = Number(searchParams.get('epoch'));
    if (epoch < (epochs.get(producer) ?? 0)) return false;
    epochs.set(producer, epoch);
    return true;
  }

  private handleNewest(res: ServerResponse, topic: Topic, after: string): void {
    const keys = [...topic.newestByKey.keys()]
      .sort()
      .filter(key => key > after);
    const items = keys.slice(0, this.pageItems).map(key => {
      const {value, offset} = topic.newestByKey.get(key) as {
        value: Buffer;
        offset: number;
      };
      return {key, value: value.toString('base64'), offset};
    });
    send(res, 200, {
      items,
      has_more: keys.length > items.length,
      end_offset: topic.firstOffset + topic.records.length,
    });
  }

  private async handleRead(
    res: ServerResponse,
    topic: Topic,
    from: number,
    waitMs: number,
  ): Promise<void> {
    if (from >= topic.firstOffset + topic.records.length) {
      await waitForAppend(topic, waitMs);
    }
    if (from < topic.firstOffset) {
      send(res, 410, {first_offset: topic.firstOffset});
      return;
    }
    const offsets = Buffer.alloc(2 * OFFSET_BYTES);
    offsets.writeBigUInt64BE(
      BigInt(topic.firstOffset + topic.records.length),
      0,
    );
    offsets.writeBigUInt64BE(BigInt(topic.firstOffset), OFFSET_BYTES);
    const parts = topic.records
      .slice(from - topic.firstOffset)
      .flatMap(record => {
        const length = Buffer.alloc(LENGTH_BYTES);
        length.writeUInt32BE(record.length, 0);
        return [length, record];
      });
    res.writeHead(200).end(Buffer.concat([offsets, ...parts]));
  }

  private append(topic: Topic, content: Buffer): void {
    const offset = topic.firstOffset + topic.records.length;
    topic.records.push(content);
    const keyLength = content[0] ?? 0;
    const key = content.toString('utf8', 1, 1 + keyLength);
    topic.newestByKey.set(key, {
      value: content.subarray(1 + keyLength),
      offset,
    });
    wakeReaders(topic);
  }

  private topic(name: string): Topic {
    let topic = this.topics.get(name);
    if (!topic) {
      topic = {
        records: [],
        firstOffset: 0,
        newestByKey: new Map(),
        waitingReaders: new Set(),
        epochs: new Map(),
      };
      this.topics.set(name, topic);
    }
    return topic;
  }
}

function wakeReaders(topic: Topic): void {
  for (const resolve of topic.waitingReaders) resolve();
  topic.waitingReaders.clear();
}

function waitForAppend(topic: Topic, waitMs: number): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      topic.waitingReaders.delete(done);
      resolve();
    };
    const timer = setTimeout(done, waitMs);
    topic.waitingReaders.add(done);
  });
}

function send(res: ServerResponse, status: number, body: object): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}
