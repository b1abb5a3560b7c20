/** Stand-in of the platform's store: keyed topics over HTTP, with faults. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const PAGE_ITEMS = 500;

/** What goes wrong at the store; all off at first. */
export interface StoreFaults {
  /** Every call is refused with 503. */
  down: boolean;
  /** No call is answered. */
  silent: boolean;
  /** Appends are carried out and not answered. */
  loseAnswers: boolean;
  /** Calls are refused with 429. */
  busy: boolean;
}

interface Topic {
  /** Records from `first` on, with their lengths cut off. */
  records: Buffer[];
  first: number;
  newest: Map<string, {value: Buffer; offset: number}>;
  waiting: Set<() => void>;
}

export class StoreServer {
  readonly faults: StoreFaults = {
    down: false,
    silent: false,
    loseAnswers: false,
    busy: false,
  };
  /** Calls by path since the start. */
  readonly calls = new Map<string, number>();
  private readonly topics = new Map<string, Topic>();
  private readonly server = createServer((req, res) => {
    void this.serve(req, res);
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

  /** Writes as the operator or a server would. */
  put(topic: string, key: string, value: string | Buffer): void {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      Buffer.from(value),
    ]);
    this.append(this.topic(topic), content);
  }

  /** Drops the history of a topic; the newest record of each key is kept. */
  forget(name: string): void {
    const topic = this.topic(name);
    topic.first += topic.records.length;
    topic.records = [];
    wake(topic);
  }

  private async serve(
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
      await this.onAppend(req, res, topic);
    } else if (path === '/api/log-newest') {
      this.onNewest(res, topic, url.searchParams.get('after') ?? '');
    } else if (path === '/api/log-read') {
      const from = Number(url.searchParams.get('from'));
      const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
      await this.onRead(res, topic, from, waitMs);
    } else {
      send(res, 404, {error: 'no such call'});
    }
  }

  private async onAppend(
    req: IncomingMessage,
    res: ServerResponse,
    topic: Topic,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks);
    const offset = topic.first + topic.records.length;
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
    const endOffset = topic.first + topic.records.length;
    send(res, 200, {offset, end_offset: endOffset});
  }

  private onNewest(res: ServerResponse, topic: Topic, after: string): void {
    const keys = [...topic.newest.keys()].sort().filter(key => key > after);
    const items = keys.slice(0, this.pageItems).map(key => {
      const {value, offset} = topic.newest.get(key) as {
        value: Buffer;
        offset: number;
      };
      return {key, value: value.toString('base64'), offset};
    });
    send(res, 200, {
      items,
      has_more: keys.length > items.length,
      end_offset: topic.first + topic.records.length,
    });
  }

  private async onRead(
    res: ServerResponse,
    topic: Topic,
    from: number,
    waitMs: number,
  ): Promise<void> {
    if (from >= topic.first + topic.records.length) {
      await waitForNews(topic, waitMs);
    }
    if (from < topic.first) {
      send(res, 410, {first_offset: topic.first});
      return;
    }
    const offsets = Buffer.alloc(2 * OFFSET_BYTES);
    offsets.writeBigUInt64BE(BigInt(topic.first + topic.records.length), 0);
    offsets.writeBigUInt64BE(BigInt(topic.first), OFFSET_BYTES);
    const parts = topic.records.slice(from - topic.first).flatMap(record => {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length, 0);
      return [length, record];
    });
    res.writeHead(200).end(Buffer.concat([offsets, ...parts]));
  }

  private append(topic: Topic, content: Buffer): void {
    const offset = topic.first + topic.records.length;
    topic.records.push(content);
    const keyLength = content[0] ?? 0;
    const key = content.toString('utf8', 1, 1 + keyLength);
    topic.newest.set(key, {value: content.subarray(1 + keyLength), offset});
    wake(topic);
  }

  private topic(name: string): Topic {
    let topic = this.topics.get(name);
    if (!topic) {
      topic = {records: [], first: 0, newest: new Map(), waiting: new Set()};
      this.topics.set(name, topic);
    }
    return topic;
  }
}

function wake(topic: Topic): void {
  for (const resolve of topic.waiting) resolve();
  topic.waiting.clear();
}

function waitForNews(topic: Topic, waitMs: number): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      topic.waiting.delete(done);
      resolve();
    };
    const timer = setTimeout(done, waitMs);
    topic.waiting.add(done);
  });
}

function send(res: ServerResponse, status: number, body: object): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}
