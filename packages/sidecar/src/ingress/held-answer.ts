/** An answer that its caller gets once it is whole. */

import type {FlatHeaders} from '@turmericmill/wire';

import {
  reserveBytes,
  type AnswerBudget,
  type AnswerHolder,
} from '../answer-budget.js';
import {framedHeaders} from './answer-framing.js';
import type {CallerRequest} from './caller-request.js';

/** Where an answer goes. */
export type AnswerTarget = Pick<CallerRequest, 'start' | 'data' | 'end'>;

/**
 * Nothing of an answer is passed on before its end, so that one that breaks off
 * can be replaced. When the answers held exceed their budget, the largest ones
 * are passed on as they come.
 */
export class HeldAnswer implements AnswerHolder {
  /** 0 before the head has come. */
  status = 0;
  /** Bytes of the body so far. */
  bytes = 0;
  private headers: FlatHeaders = [];
  private chunks: Uint8Array[] = [];
  private streaming = false;

  constructor(
    private readonly method: string,
    private readonly caller: AnswerTarget,
    private readonly budget: AnswerBudget,
  ) {}

  /** True once the caller may have seen part of the answer. */
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
    this.stream();
  }

  /** Passes the answer on as it comes. */
  stream(): void {
    if (!this.streaming) this.passOn(this.headers);
  }

  /** Passes on the whole answer. Returns false if part of it is missing. */
  end(): boolean {
    const {method, status, headers, bytes} = this;
    const framed = framedHeaders({method, status, headers, bytes});
    if (!framed) return false;
    if (!this.streaming) this.passOn(framed);
    this.caller.end();
    return true;
  }

  /** Drops what is held. */
  drop(): void {
    this.chunks = [];
    this.budget.release(this);
  }

  private passOn(headers: FlatHeaders): void {
    const {caller, chunks} = this;
    this.streaming = true;
    this.drop();
    caller.start(this.status, headers);
    for (const chunk of chunks) caller.data(chunk);
  }
}
