/** Stand-in for the platform's store: keyed topics with fenced appends. */

import {createServer} from 'node:http';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

function reply(res, status, body) {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

export class Store {
  /** `ok`; `busy` refuses every call with 503; `silent` answers none. */
  mode = 'ok';
  /** Called with a line of text for each refused or unanswered call. */
  onRefused = () => undefined;
  topics = new Map();
  server = createServer((req, res) => void this.handle(req, res));

  async listen(address) {
    await new Promise(resolve => this.server.listen(0, address, resolve));
    return this.server.address().port;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Appends a record as the operator does. */
  put(name, key, value) {
    const keyBytes = Buffer.from(key);
    const head = Buffer.from([keyBytes.length]);
    this.append(
      this.topic(name),
      Buffer.concat([head, keyBytes, Buffer.from(value)]),
    );
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (!topic) {
      topic = {
        records: [],
        newest: new Map(),
        epochs: new Map(),
        waiting: new Set(),
      };
      this.topics.set(name, topic);
    }
    return topic;
  }

  append(topic, record) {
    const offset = topic.records.push(record) - 1;
    const keyLength = record[0];
    const key = record.toString('utf8', 1, 1 + keyLength);
    const value = record.subarray(1 + keyLength);
    if (value.length > 0) topic.newest.set(key, {value, offset});
    else topic.newest.delete(key);
    for (const wake of topic.waiting) wake();
    topic.waiting.clear();
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const {pathname, searchParams} = new URL(req.url, 'http://store');
    if (this.mode !== 'ok') {
      this.onRefused(`${this.mode}: ${req.method} ${req.url}`);
      if (this.mode === 'busy') reply(res, 503, {error: 'busy'});
      return;
    }
    const topic = this.topic(searchParams.get('topic'));
    switch (pathname) {
      case '/api/log-append':
        this.handleAppend(res, topic, searchParams, Buffer.concat(chunks));
        break;
      case '/api/log-newest':
        this.handleNewest(res, topic);
        break;
      case '/api/log-read':
        await this.handleRead(res, topic, searchParams);
        break;
      default:
        reply(res, 404, {error: 'no such call'});
    }
  }

  handleAppend(res, topic, query, body) {
    const producer = query.get('producer');
    const epoch = Number(query.get('epoch'));
    if (producer !== null) {
      if (epoch < (topic.epochs.get(producer) ?? 0)) {
        reply(res, 409, {why: 'fenced'});
        return;
      }
      topic.epochs.set(producer, epoch);
    }
    const offset = topic.records.length;
    for (let at = 0; at < body.length;) {
      const begin = at + LENGTH_BYTES;
      const end = begin + body.readUInt32BE(at);
      this.append(topic, body.subarray(begin, end));
      at = end;
    }
    reply(res, 200, {offset, end_offset: topic.records.length});
  }

  handleNewest(res, topic) {
    const items = [...topic.newest].map(([key, {value, offset}]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    const endOffset = topic.records.length;
    reply(res, 200, {items, has_more: false, end_offset: endOffset});
  }

  async handleRead(res, topic, query) {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (from >= topic.records.length) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, waitMs);
        topic.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const offsets = Buffer.alloc(2 * OFFSET_BYTES);
    offsets.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = topic.records.slice(from).flatMap(record => {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length, 0);
      return [length, record];
    });
    res.writeHead(200).end(Buffer.concat([offsets, ...parts]));
  }
}
