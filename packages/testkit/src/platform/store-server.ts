/** Stand-in for the platform's store: keyed topics over HTTP, with faults. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import {StoreTopic} from './store-topic.js';

const PAGE_ITEMS = 500;
const WHOLE_NUMBER = /^\d+$/;
const FIRST_ERA = 1;

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
  /** Appends are carried out, and answered, only once this is off again. */
  holdAppends: boolean;
}

/**
 * What becomes of the long polls that wait when the store returns from a copy.
 * `ended`: their connections are closed. `hung`: they are never answered.
 * `answered`: at once, from the copy. `stale`: at the end of their wait, as if
 * the store had not returned.
 */
export type PollsAtReturn = 'ended' | 'hung' | 'answered' | 'stale';

/** All topics as they were at one time. */
export type StoreCopy = ReadonlyMap<string, StoreTopic>;

/** Interval in ms at which held appends look whether they may go on. */
const HOLD_CHECK_MS = 10;

export class StoreServer {
  readonly faults: StoreFaults = {
    down: false,
    silent: false,
    loseAnswers: false,
    busy: false,
    holdAppends: false,
  };
  /** Number of calls by path. */
  readonly calls = new Map<string, number>();
  private era = FIRST_ERA;
  private topics = new Map<string, StoreTopic>();
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
    this.topic(topic).put(key, value);
  }

  /** Returns the newest value of a key, undefined if there is none. */
  valueOf(topic: string, key: string): Buffer | undefined {
    const newest = this.topic(topic).newest('');
    return newest.find(([name]) => name === key)?.[1].value;
  }

  /** Removes the history of a topic but keeps the newest value of each key. */
  trimHistory(name: string): void {
    this.topic(name).trim();
  }

  copy(): StoreCopy {
    return copyTopics(this.topics);
  }

  /** Loses all that was written since a copy; offsets are given out again. */
  returnFrom(copy: StoreCopy, polls: PollsAtReturn): void {
    const before = this.topics;
    this.topics = copyTopics(copy);
    this.era += 1;
    if (polls === 'stale') return;
    for (const topic of before.values()) topic.endPolls(polls);
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
      this.send(res, down ? 503 : 429, {error: 'refused'});
      return;
    }
    const name = url.searchParams.get('topic') ?? '';
    if (path === '/api/log-append') {
      await this.handleAppend(req, res, url.searchParams);
    } else if (path === '/api/log-newest') {
      this.handleNewest(res, name, url.searchParams.get('after') ?? '');
    } else if (path === '/api/log-read') {
      const from = url.searchParams.get('from') ?? '';
      const waitMs = url.searchParams.get('wait_ms') ?? '0';
      if (!WHOLE_NUMBER.test(from) || !WHOLE_NUMBER.test(waitMs)) {
        this.send(res, 400, {error: 'from and wait_ms are whole numbers'});
        return;
      }
      await this.handleRead(res, name, Number(from), Number(waitMs));
    } else {
      this.send(res, 404, {error: 'no such call'});
    }
  }

  private async handleAppend(
    req: IncomingMessage,
    res: ServerResponse,
    query: URLSearchParams,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    while (this.faults.holdAppends) {
      await new Promise(resolve => setTimeout(resolve, HOLD_CHECK_MS));
    }
    const topic = this.topic(query.get('topic') ?? '');
    const producer = query.get('producer');
    const offset = topic.end;
    const at = query.get('at');
    if (at !== null && Number(at) !== offset) {
      this.send(res, 412, {end_offset: offset});
      return;
    }
    if (producer !== null) {
      const epoch = Number(query.get('epoch'));
      const sequence = Number(query.get('sequence'));
      const why = topic.checkWrite(producer, {epoch, sequence});
      if (why !== 'accepted') {
        this.send(res, 409, {why});
        return;
      }
    }
    topic.appendAll(Buffer.concat(chunks));
    if (this.faults.loseAnswers) {
      res.destroy();
      return;
    }
    this.send(res, 200, {offset, end_offset: topic.end});
  }

  private handleNewest(res: ServerResponse, name: string, after: string): void {
    const topic = this.topic(name);
    const newest = topic.newest(after);
    const items = newest
      .slice(0, this.pageItems)
      .map(([key, {value, offset}]) => ({
        key,
        value: value.toString('base64'),
        offset,
      }));
    this.send(res, 200, {
      items,
      has_more: newest.length > items.length,
      end_offset: topic.end,
    });
  }

  private async handleRead(
    res: ServerResponse,
    name: string,
    from: number,
    waitMs: number,
  ): Promise<void> {
    let topic = this.topic(name);
    let {era} = this;
    if (from === topic.end) {
      const outcome = await topic.poll(waitMs);
      if (outcome === 'ended') res.destroy();
      if (outcome === 'ended' || outcome === 'hung') return;
      if (outcome === 'answered') {
        topic = this.topic(name);
        ({era} = this);
      }
    }
    if (from < topic.first || from > topic.end) {
      this.send(res, 410, {first_offset: topic.first}, era);
      return;
    }
    const headers = {'store-era': era};
    res.writeHead(200, headers).end(topic.page(from));
  }

  private topic(name: string): StoreTopic {
    let topic = this.topics.get(name);
    if (!topic) {
      topic = new StoreTopic();
      this.topics.set(name, topic);
    }
    return topic;
  }

  private send(
    res: ServerResponse,
    status: number,
    body: object,
    era = this.era,
  ): void {
    const headers = {'content-type': 'application/json', 'store-era': era};
    res.writeHead(status, headers);
    res.end(JSON.stringify(body));
  }
}

function copyTopics(topics: StoreCopy): Map<string, StoreTopic> {
  return new Map([...topics].map(([name, topic]) => [name, topic.copy()]));
}
