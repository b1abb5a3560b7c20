/** An answer that is buffered until it is complete. */

import type {FlatHeaders} from '@turmericmill/wire';

import {
  reserveBytes,
  type AnswerBudget,
  type AnswerHolder,
} from '../answer-budget.js';
import {framedHeaders} from './answer-framing.js';
import type {CallerRequest} from './caller-request.js';

/** Where an answer is written. */
export type AnswerSink = Pick<CallerRequest, 'start' | 'data' | 'end'>;

/**
 * Forwards nothing of an answer before its end, so that one that breaks off can
 * be replaced. When the buffered answers exceed their budget, the largest ones
 * are streamed.
 */
export class BufferedAnswer implements AnswerHolder {
  /** 0 until the status and headers have arrived. */
  status = 0;
  /** Bytes of the body that have arrived. */
  bytes = 0;
  /** Called if the answer cannot be streamed when its buffer is freed. */
  onBroken: ((err: unknown) => void) | undefined;
  private headers: FlatHeaders = [];
  private chunks: Uint8Array[] = [];
  private streaming = false;

  constructor(
    private readonly method: string,
    private readonly caller: AnswerSink,
    private readonly budget: AnswerBudget,
  ) {}

  /** True once the caller may have received part of the answer. */
  get isStreaming(): boolean {
    return this.streaming;
  }

  start(status: number, headers: FlatHeaders): void {
    this.status = status;
    this.headers = headers;
  }

  data(chunk: Uint8Array): void {
    this.bytes += chunk.length;
    if (this.streaming) {
      this.caller.data(chunk);
      return;
    }
    this.chunks.push(chunk);
    reserveBytes(this.budget, this, chunk.length);
  }

  freeBuffer(): void {
    // The exception would reach the answer that needs the bytes.
    try {
      this.stream();
    } catch (err) {
      this.onBroken?.(err);
    }
  }

  /** Forwards what has arrived, and from now on each chunk as it arrives. */
  stream(): void {
    if (!this.streaming) this.forward(this.headers);
  }

  /** Ends the answer. Returns false if its length is not its content-length. */
  end(): boolean {
    const {method, status, headers, bytes} = this;
    const framed = framedHeaders({method, status, headers, bytes});
    if (!framed) return false;
    if (!this.streaming) this.forward(framed);
    this.caller.end();
    return true;
  }

  /** Discards the buffered chunks and releases their bytes. */
  discard(): void {
    this.chunks = [];
    this.budget.release(this);
  }

  private forward(headers: FlatHeaders): void {
    const {caller, chunks} = this;
    this.discard();
    caller.start(this.status, headers);
    // Set only now: an answer whose start failed has not reached the caller.
    this.streaming = true;
    for (const chunk of chunks) caller.data(chunk);
  }
}
