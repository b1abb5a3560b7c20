/** Parses the answers of a backend server that arrive on one connection. */

import {AnswerReader} from '@turmericmill/http';

import {AnswerBody} from './answer-body.js';
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

/** Most body bytes of an exchange; far above what servers send. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
/** Most bytes of free blocks that are kept for later answers. */
const MAX_FREE_BYTES = 16 * 1024 * 1024;
/** Reuses blocks of discarded answers, which else await garbage collection. */
const BLOCKS = new BlockPool(MAX_FREE_BYTES / BLOCK_BYTES);

/** Parser of one connection; keeps each answer until it is complete. */
export class AnswerParser {
  private readonly reader: AnswerReader;
  private status = 0;
  private headers: string[] = [];
  private readonly body = new AnswerBody(BLOCKS);
  /** Body bytes of an exchange, with those of answers to other requests. */
  private bytes = 0;
  private keepAlive = false;
  private discarded = false;

  constructor(private readonly events: AnswerEvents) {
    this.reader = new AnswerReader({
      head: (status, headers, keepAlive) => {
        this.status = status;
        this.headers = headers;
        this.keepAlive = keepAlive;
      },
      body: piece => this.handleBody(piece),
      end: hasMoreBytes => this.complete(hasMoreBytes),
      malformed: detail => this.fail(detail),
      lines: bytes => this.reportBuffered(bytes),
    });
  }

  /** Starts an exchange; `bodyless` for HEAD, whose answers have no body. */
  begin(bodyless: boolean): void {
    this.bytes = 0;
    this.reader.begin(bodyless);
  }

  /** Discards what has arrived and ignores further bytes. */
  discard(): void {
    this.discarded = true;
    this.reader.stop();
    this.body.discard();
    this.headers = [];
  }

  /** Parses received bytes. */
  push(chunk: Buffer): void {
    this.reader.push(chunk);
  }

  /** True while an answer arrives that ends with the connection. */
  get endsWithConnection(): boolean {
    return this.reader.endsWithConnection;
  }

  /** Completes an answer without a length, as the server closed its side. */
  end(): void {
    this.reader.end();
  }

  private handleBody(piece: Buffer): void {
    this.bytes += piece.length;
    if (this.bytes > MAX_ANSWER_BYTES) throw new Error('answer too large');
    this.reportBuffered(this.body.append(piece));
  }

  /** Reports allocated bytes; the owner may discard the answer in response. */
  private reportBuffered(bytes: number): void {
    if (bytes > 0 && !this.discarded) this.events.buffered(bytes);
    if (this.discarded) throw new Error('the answer has been discarded');
  }

  private complete(hasMoreBytes: boolean): void {
    const {status, headers} = this;
    const body = this.body.extract();
    const keepAlive = this.keepAlive && !hasMoreBytes;
    this.events.answer({status, headers, body, keepAlive});
  }

  private fail(detail: string): void {
    this.discard();
    this.events.malformed(detail);
  }
}
