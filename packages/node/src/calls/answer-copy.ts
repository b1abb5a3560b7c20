/** Copy of a streamed answer, kept for retries of the same request. */

import type {FlatHeaders, KeptAnswer} from '@turmericmill/wire';

/** Copies an answer whose body has up to `maxBytes`; discards a longer one. */
export class AnswerCopy {
  private status = 0;
  private headers: FlatHeaders = [];
  private chunks: Uint8Array[] = [];
  private bytes = 0;

  constructor(private readonly maxBytes: number) {}

  start(status: number, headers: FlatHeaders): void {
    this.status = status;
    this.headers = headers;
  }

  data(chunk: Uint8Array): void {
    this.bytes += chunk.length;
    if (this.bytes <= this.maxBytes) this.chunks.push(chunk);
    else this.chunks = [];
  }

  /** Returns the answer; undefined if it has not started or is too long. */
  toKeptAnswer(): KeptAnswer | undefined {
    if (this.status === 0 || this.bytes > this.maxBytes) return undefined;
    const {status, headers} = this;
    return {status, headers, body: Buffer.concat(this.chunks)};
  }
}
