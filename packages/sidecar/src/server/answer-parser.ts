/** Parses the answers of a backend server from the bytes of one connection. */

import {validateHeaderName, validateHeaderValue} from 'node:http';

import {HTTPParser} from 'http-parser-js';

import {AnswerBody} from './answer-body.js';
import {AnswerLines} from './answer-lines.js';
import {BLOCK_BYTES, BlockPool} from './block-pool.js';

/** An answer that has arrived whole. */
export interface ServerAnswer {
  status: number;
  /** Names and values in the order received, flattened. */
  headers: string[];
  /** The body's bytes in order. */
  body: Buffer[];
  /** False if the connection cannot carry another request. */
  keepAlive: boolean;
}

/** What the parser tells its owner. */
export interface AnswerEvents {
  /** A whole answer; informational ones are left out. */
  answer(answer: ServerAnswer): void;
  /** Bytes that are no answer in the protocol. */
  malformed(detail: string): void;
  /** Bytes of memory that were taken for the answer, beside those before. */
  held(bytes: number): void;
}

const CONTENT_LENGTH = /^\d+$/;
const CHUNK_SIZE = /^[0-9a-fA-F]{1,16}[ \t]*(?:;.*)?$/;
const SKIP_BODY = 1;
/** Largest answer in bytes that is taken; far above what servers send. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
/** Bytes of memory that are kept for later answers. */
const MAX_FREE_BYTES = 16 * 1024 * 1024;
/** Most headers of an answer; those of Node.js have the same bound. */
const MAX_HEADERS = 2_000;

/** Parts of the library's parser that its types keep private. */
interface ParserInternals {
  offset: number;
  end: number;
  /** `undefined` while the line has not arrived whole. */
  consumeLine(): string | undefined;
  // The names are those of the library.
  /* eslint-disable @typescript-eslint/naming-convention */
  body_bytes: number;
  state: string;
  info: {headers: string[]};
  BODY_CHUNKHEAD: (this: ParserInternals) => void;
  /* eslint-enable @typescript-eslint/naming-convention */
}

/** Replaces the library's step, which takes a malformed size for the last. */
function readChunkSize(this: ParserInternals): void {
  const line = this.consumeLine();
  if (line === undefined) return;
  if (!CHUNK_SIZE.test(line)) throw new Error('malformed chunk size');
  this.body_bytes = Number.parseInt(line, 16);
  this.state = this.body_bytes > 0 ? 'BODY_CHUNK' : 'BODY_CHUNKTRAILERS';
}

HTTPParser.encoding = 'latin1';

/** Memory of answers that were given up: it is not free before a collection. */
const BLOCKS = new BlockPool(MAX_FREE_BYTES / BLOCK_BYTES);

/** One parser for each connection. */
export class AnswerParser {
  private readonly parser = new HTTPParser('RESPONSE');
  private status = 0;
  private headers: string[] = [];
  private readonly body = new AnswerBody(BLOCKS);
  /** Bytes of all bodies of an exchange, foreign answers included. */
  private bytes = 0;
  private lines = new AnswerLines();
  private keepAlive = false;
  private failed = false;
  /** True while part of an answer has arrived. */
  private partial = false;
  private bodyless = false;

  constructor(private readonly events: AnswerEvents) {
    const {parser, internals} = this;
    const {consumeLine} = internals;
    internals.BODY_CHUNKHEAD = readChunkSize;
    internals.consumeLine = () => this.countLine(consumeLine);
    parser[HTTPParser.kOnHeadersComplete] = info => {
      this.status = info.statusCode;
      this.headers = info.headers;
      this.keepAlive = info.shouldKeepAlive;
      this.checkHeaders();
      return this.bodyless ? SKIP_BODY : undefined;
    };
    parser[HTTPParser.kOnBody] = (chunk: Buffer) => this.takeBody(chunk);
    parser[HTTPParser.kOnMessageComplete] = () => this.complete();
  }

  /** A request goes out; `bodyless` for HEAD, whose answers have no body. */
  begin(bodyless: boolean): void {
    this.bodyless = bodyless;
    this.bytes = 0;
    this.lines = new AnswerLines();
  }

  /** Drops what has arrived, and takes no more. */
  discard(): void {
    this.failed = true;
    this.body.discard();
    this.headers = [];
  }

  /** Takes received bytes. */
  push(chunk: Buffer): void {
    if (this.failed) return;
    this.partial = true;
    try {
      const result: unknown = this.parser.execute(chunk);
      if (result instanceof Error) this.fail(result.message);
    } catch (err) {
      this.fail(err instanceof Error ? err.message : String(err));
    }
  }

  /** True while an answer arrives that only the connection's end completes. */
  get endsWithConnection(): boolean {
    return this.partial && this.internals.state === 'BODY_RAW';
  }

  /** The server has closed its side in order: an unframed answer is whole. */
  end(): void {
    if (!this.failed && this.partial) this.parser.finish();
  }

  private takeBody(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes > MAX_ANSWER_BYTES) throw new Error('answer too large');
    this.lines.noteBody(chunk.length);
    this.hold(this.body.append(chunk));
  }

  /** Reads a line as the library does, within the bounds of its part. */
  private countLine(
    consumeLine: ParserInternals['consumeLine'],
  ): string | undefined {
    const {internals} = this;
    const {offset, state} = internals;
    const line = consumeLine.call(internals);
    const bytes = internals.offset - offset;
    this.lines.note(state, bytes);
    if (internals.info.headers.length > 2 * MAX_HEADERS) {
      throw new Error('too many headers');
    }
    this.hold(bytes);
    return line;
  }

  /** The owner may discard the answer in response. */
  private hold(bytes: number): void {
    if (bytes > 0 && !this.failed) this.events.held(bytes);
    if (this.failed) throw new Error('answer given up');
  }

  private complete(): void {
    const {status, headers, keepAlive} = this;
    const body = this.body.take();
    this.partial = false;
    if (status < 200) return;
    const hasMore = this.internals.offset < this.internals.end;
    const answer = {status, headers, body, keepAlive: keepAlive && !hasMore};
    this.events.answer(answer);
  }

  private get internals(): ParserInternals {
    return this.parser as unknown as ParserInternals;
  }

  /** Throws on headers that could not be passed on, or that frame nothing. */
  private checkHeaders(): void {
    for (let i = 0; i + 1 < this.headers.length; i += 2) {
      const name = this.headers[i] ?? '';
      const value = this.headers[i + 1] ?? '';
      validateHeaderName(name);
      validateHeaderValue(name, value);
      if (name.toLowerCase() !== 'content-length') continue;
      if (!CONTENT_LENGTH.test(value)) {
        throw new Error('malformed content length');
      }
    }
  }

  private fail(detail: string): void {
    if (this.failed) return;
    this.discard();
    this.events.malformed(detail);
  }
}
