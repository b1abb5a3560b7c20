/** Parses the answers of a backend server that arrive on one connection. */

import {validateHeaderName, validateHeaderValue} from 'node:http';

import {HTTPParser} from 'http-parser-js';

import {AnswerBody} from './answer-body.js';
import {AnswerLineLimits} from './answer-line-limits.js';
import {checkAnswerLine, checkFraming} from './answer-lines.js';
import {BLOCK_BYTES, BlockPool} from './block-pool.js';

/** A complete answer. */
export interface ServerAnswer {
  status: number;
  /** Names and values in turn, in the order received. */
  headers: string[];
  /** The body's bytes in order. */
  body: Buffer[];
  /** False if the connection cannot carry another request. */
  keepAlive: boolean;
}

/** Callbacks of the parser. */
export interface AnswerEvents {
  /** A complete answer has arrived; informational ones are skipped. */
  answer(answer: ServerAnswer): void;
  /** Bytes that are not a valid HTTP answer have arrived. */
  malformed(detail: string): void;
  /** The answer occupies `bytes` of memory more than before. */
  buffered(bytes: number): void;
}

const CONTENT_LENGTH = /^\d+$/;
const CHUNK_SIZE = /^[0-9a-fA-F]{1,16}[ \t]*(?:;.*)?$/;
const SKIP_BODY = 1;
/** Most body bytes of an exchange; far above what servers send. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
/** Most bytes of free blocks that are kept for later answers. */
const MAX_FREE_BYTES = 16 * 1024 * 1024;
/** Most headers of an answer; the parser of Node.js has the same limit. */
const MAX_HEADERS = 2_000;

/** Members of the library's parser that its types do not declare. */
interface ParserInternals {
  offset: number;
  end: number;
  /** Returns undefined until the whole line has arrived. */
  consumeLine(): string | undefined;
  // The library chose these names.
  /* eslint-disable @typescript-eslint/naming-convention */
  body_bytes: number;
  state: string;
  info: {headers: string[]};
  BODY_CHUNKHEAD: (this: ParserInternals) => void;
  /* eslint-enable @typescript-eslint/naming-convention */
}

/** Replaces the library's step, which ends the body at a malformed size. */
function readChunkSize(this: ParserInternals): void {
  const line = this.consumeLine();
  if (line === undefined) return;
  if (!CHUNK_SIZE.test(line)) throw new Error('malformed chunk size');
  this.body_bytes = Number.parseInt(line, 16);
  this.state = this.body_bytes > 0 ? 'BODY_CHUNK' : 'BODY_CHUNKTRAILERS';
}

HTTPParser.encoding = 'latin1';

/** Reuses blocks of discarded answers, which else await garbage collection. */
const BLOCKS = new BlockPool(MAX_FREE_BYTES / BLOCK_BYTES);

/** Parser of one connection. */
export class AnswerParser {
  private readonly parser = new HTTPParser('RESPONSE');
  private status = 0;
  private headers: string[] = [];
  private readonly body = new AnswerBody(BLOCKS);
  /** Body bytes of an exchange, with those of answers to other requests. */
  private bytes = 0;
  private lineLimits = new AnswerLineLimits();
  private keepAlive = false;
  private failed = false;
  /** True while part of an answer has arrived. */
  private hasPartialAnswer = false;
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
    parser[HTTPParser.kOnBody] = (chunk: Buffer) => this.handleBody(chunk);
    parser[HTTPParser.kOnMessageComplete] = () => this.complete();
  }

  /** Starts an exchange; `bodyless` for HEAD, whose answers have no body. */
  begin(bodyless: boolean): void {
    this.bodyless = bodyless;
    this.bytes = 0;
    this.lineLimits = new AnswerLineLimits();
  }

  /** Discards what has arrived and ignores further bytes. */
  discard(): void {
    this.failed = true;
    this.body.discard();
    this.headers = [];
  }

  /** Parses received bytes. */
  push(chunk: Buffer): void {
    if (this.failed) return;
    this.hasPartialAnswer = true;
    try {
      const result: unknown = this.parser.execute(chunk);
      if (result instanceof Error) this.fail(result.message);
    } catch (err) {
      this.fail(err instanceof Error ? err.message : String(err));
    }
  }

  /** True while an answer arrives that ends with the connection. */
  get endsWithConnection(): boolean {
    return this.hasPartialAnswer && this.internals.state === 'BODY_RAW';
  }

  /** Completes an answer without a length, as the server closed its side. */
  end(): void {
    if (!this.failed && this.hasPartialAnswer) this.parser.finish();
  }

  private handleBody(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes > MAX_ANSWER_BYTES) throw new Error('answer too large');
    this.lineLimits.recordBody(chunk.length);
    this.reportBuffered(this.body.append(chunk));
  }

  /** Reads a line as the library does, and checks it and its part's limits. */
  private countLine(
    consumeLine: ParserInternals['consumeLine'],
  ): string | undefined {
    const {internals} = this;
    const {offset, state} = internals;
    const line = consumeLine.call(internals);
    const bytes = internals.offset - offset;
    this.lineLimits.recordLine(state, bytes);
    if (line !== undefined) checkAnswerLine(state, line);
    if (internals.info.headers.length > 2 * MAX_HEADERS) {
      throw new Error('the answer has too many headers');
    }
    this.reportBuffered(bytes);
    return line;
  }

  /** Reports allocated bytes; the owner may discard the answer in response. */
  private reportBuffered(bytes: number): void {
    if (bytes > 0 && !this.failed) this.events.buffered(bytes);
    if (this.failed) throw new Error('the answer has been discarded');
  }

  private complete(): void {
    const {status, headers, keepAlive} = this;
    const body = this.body.extract();
    this.hasPartialAnswer = false;
    if (status < 200) return;
    const hasMoreBytes = this.internals.offset < this.internals.end;
    const answer = {
      status,
      headers,
      body,
      keepAlive: keepAlive && !hasMoreBytes,
    };
    this.events.answer(answer);
  }

  private get internals(): ParserInternals {
    return this.parser as unknown as ParserInternals;
  }

  /** Throws on headers that cannot be forwarded or state no valid length. */
  private checkHeaders(): void {
    checkFraming(this.headers);
    for (let i = 0; i + 1 < this.headers.length; i += 2) {
      const name = this.headers[i] ?? '';
      const value = this.headers[i + 1] ?? '';
      validateHeaderName(name);
      validateHeaderValue(name, value);
      if (name.toLowerCase() !== 'content-length') continue;
      if (!CONTENT_LENGTH.test(value)) {
        throw new Error('malformed content-length');
      }
    }
  }

  private fail(detail: string): void {
    if (this.failed) return;
    this.discard();
    this.events.malformed(detail);
  }
}
