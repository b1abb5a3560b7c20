/** A copy of an answer that passes through, kept for later tries. */

import type {FlatHeaders, KeptAnswer} from '@turmericmill/wire';

/** Copies an answer up to a bound; a longer one is not kept. */
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

  /** The whole answer, or undefined when it was too long. */
  take(): KeptAnswer | undefined {
    if (this.status === 0 || this.bytes > this.maxBytes) return undefined;
    const {status, headers} = this;
    return {status, headers, body: Buffer.concat(this.chunks)};
  }
}
