/** Reads the answers that arrive on one connection. */

import {validateHeaderName, validateHeaderValue} from 'node:http';

import {HTTPParser} from 'http-parser-js';

import {decideFraming, type AnswerFraming} from './answer-framing.js';
import {AnswerLineLimits} from './answer-line-limits.js';
import {
  checkAnswerLine,
  checkStatusLineStart,
  mayBeginAnswer,
} from './answer-lines.js';

/** Callbacks of the reader; an exception ends the reading as malformed. */
export interface AnswerEvents {
  /** The head of an answer that is not informational. */
  head(status: number, headers: string[], keepAlive: boolean): void;
  /** A piece of the body; the buffer may be overwritten afterwards. */
  body(piece: Buffer): void;
  /** The answer is complete; `hasMoreBytes`: another one has begun. */
  end(hasMoreBytes: boolean): void;
  /** Bytes that are not a valid HTTP answer; no other event follows. */
  malformed(detail: string): void;
  /** A line, or a part of one, occupies `bytes` of memory. */
  lines?(bytes: number): void;
}

const CHUNK_SIZE = /^[0-9a-fA-F]{1,16}[ \t]*(?:;.*)?$/;
const SKIP_BODY = 1;
/** Most headers of an answer; the parser of Node.js has the same limit. */
const MAX_HEADERS = 2_000;

/** Members of the library's parser that its types do not declare. */
interface ParserInternals {
  chunk: Buffer | null;
  offset: number;
  end: number;
  /** The beginning of a line whose end has not arrived. */
  line: string;
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

export class AnswerReader {
  private readonly parser = new HTTPParser('RESPONSE');
  private status = 0;
  private framing: AnswerFraming = 'none';
  private lineLimits = new AnswerLineLimits();
  private stopped = false;
  /** True while part of an answer has arrived. */
  private hasPartialAnswer = false;
  private isBodyless = false;
  private rawBody: RawBodyCheck | undefined;

  /** Without `takesRawBodies`, answers need a length or a coding. */
  constructor(
    private readonly events: AnswerEvents,
    private readonly takesRawBodies = true,
  ) {
    const {parser, internals} = this;
    const {consumeLine} = internals;
    internals.BODY_CHUNKHEAD = readChunkSize;
    internals.consumeLine = () => this.readLine(consumeLine);
    parser[HTTPParser.kOnHeadersComplete] = info => {
      // An informational answer may have ended in the same read.
      this.hasPartialAnswer = true;
      this.status = info.statusCode;
      const httpVersion = `${info.versionMajor}.${info.versionMinor}`;
      this.framing = this.checkHead(httpVersion, info.headers);
      this.rawBody = undefined;
      if (this.status >= 200) {
        events.head(info.statusCode, info.headers, info.shouldKeepAlive);
      }
      return this.framing === 'none' ? SKIP_BODY : undefined;
    };
    parser[HTTPParser.kOnBody] = (piece: Buffer) => this.readBody(piece);
    parser[HTTPParser.kOnMessageComplete] = () => this.complete();
  }

  /** Starts an exchange; `isBodyless` for HEAD, whose answers have no body. */
  begin(isBodyless: boolean): void {
    this.isBodyless = isBodyless;
    this.lineLimits = new AnswerLineLimits();
  }

  /** Ignores further bytes. */
  stop(): void {
    this.stopped = true;
  }

  /** Reads received bytes. */
  push(chunk: Buffer): void {
    if (this.stopped) return;
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
    if (this.stopped || !this.hasPartialAnswer) return;
    if (this.rawBody?.isFramed) {
      this.fail(
        'a body that ends with the connection has a framing of its own',
      );
      return;
    }
    this.parser.finish();
  }

  private readBody(piece: Buffer): void {
    this.lineLimits.recordBody(piece.length);
    if (this.framing === 'connection-end') {
      this.rawBody ??= new RawBodyCheck();
      this.rawBody.push(piece);
    }
    this.events.body(piece);
  }

  /** Reads a line as the library does, and checks it and its part's limits. */
  private readLine(
    consumeLine: ParserInternals['consumeLine'],
  ): string | undefined {
    const {internals} = this;
    const {offset, state} = internals;
    const line = consumeLine.call(internals);
    const bytes = internals.offset - offset;
    this.lineLimits.recordLine(state, bytes);
    if (line !== undefined) checkAnswerLine(state, line);
    else if (state === 'RESPONSE_LINE') checkStatusLineStart(internals.line);
    if (internals.info.headers.length > 2 * MAX_HEADERS) {
      throw new Error('the answer has too many headers');
    }
    this.events.lines?.(bytes);
    return line;
  }

  private complete(): void {
    this.hasPartialAnswer = false;
    if (this.status < 200) return;
    const {chunk, offset, end} = this.internals;
    const rest = chunk?.subarray(offset, end) ?? Buffer.of();
    if (!this.isBodyless && !mayBeginAnswer(rest.toString('latin1'))) {
      throw new Error('bytes behind the answer that begin no other');
    }
    this.events.end(rest.length > 0);
  }

  private get internals(): ParserInternals {
    return this.parser as unknown as ParserInternals;
  }

  /** Throws on a head that cannot be forwarded or states no sound framing. */
  private checkHead(httpVersion: string, headers: string[]): AnswerFraming {
    for (let i = 0; i + 1 < headers.length; i += 2) {
      const name = headers[i] ?? '';
      validateHeaderName(name);
      validateHeaderValue(name, headers[i + 1] ?? '');
    }
    const head = {status: this.status, httpVersion, headers};
    const framing = decideFraming(head, this.isBodyless);
    if (framing.isErr()) throw new Error(framing.error);
    if (framing.value === 'connection-end' && !this.takesRawBodies) {
      throw new Error('no length');
    }
    return framing.value;
  }

  private fail(detail: string): void {
    if (this.stopped) return;
    this.stopped = true;
    this.events.malformed(detail);
  }
}

/**
 * Tells a body that ends with the connection from the rest of an answer whose
 * head was spoilt: one whose coding is not stated any more, so that its chunks
 * are read as the body, or one that an empty line ends too early.
 */
class RawBodyCheck {
  private readonly readers = [
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    'HTTP/1.1 200 OK\r\n',
  ].map(head => new FramedBodyReader(head));

  push(piece: Buffer): void {
    for (const reader of this.readers) reader.push(piece);
  }

  /** True if the whole body is a body in chunks, or fields and their body. */
  get isFramed(): boolean {
    return this.readers.some(({isComplete}) => isComplete);
  }
}

/** Reads a body as if it came after the given start of a head. */
class FramedBodyReader {
  /** True if the bytes so far are one whole answer. */
  isComplete = false;
  private readonly reader = new AnswerReader(
    {
      head: () => undefined,
      body: () => undefined,
      end: hasMoreBytes => (this.isComplete = !hasMoreBytes),
      malformed: () => (this.isComplete = false),
    },
    false,
  );

  constructor(head: string) {
    this.reader.push(Buffer.from(head));
  }

  push(piece: Buffer): void {
    this.isComplete = false;
    this.reader.push(piece);
  }
}
