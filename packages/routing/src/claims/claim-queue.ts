/** Operations that wait for a place in a batch, in order of arrival. */

import {encodeOperation} from './claim-record.js';
import type {ClaimLogOperation} from './claim-record.js';

/** Who asked for a claim, and until when the answer is of use. */
export interface Asker {
  from: string;
  requestId: number;
  claimId: string;
  /** Time in ms. */
  deadlineMs: number;
}

/** An operation with its encoding. Claims have an asker. */
export interface QueuedOperation {
  operation: ClaimLogOperation;
  encoded: string;
  bytes: number;
  asker?: Asker;
  /** True when an earlier batch with it may be in the stream. */
  mayHaveLanded: boolean;
}

/** Bytes of the comma that parts an operation from the next one. */
const SEPARATOR_BYTES = 1;

/** A queue that is bounded in bytes. */
export class ClaimQueue {
  private items: QueuedOperation[] = [];
  private bytes = 0;
  private urgent = 0;

  /** @param maxItemBytes the largest operation that fits in a record */
  constructor(
    private readonly maxBytes: number,
    private readonly maxItemBytes: number,
  ) {}

  get length(): number {
    return this.items.length;
  }

  /** True when there are claims or releases; answers alone can wait. */
  get isUrgent(): boolean {
    return this.urgent > 0;
  }

  /** Adds an operation at the end; false when the queue is full. */
  push(operation: ClaimLogOperation, asker?: Asker): boolean {
    const encoded = encodeOperation(operation);
    const bytes = Buffer.byteLength(encoded) + SEPARATOR_BYTES;
    if (bytes > this.maxItemBytes) return false;
    if (this.bytes + bytes > this.maxBytes) return false;
    const item = {operation, encoded, bytes, mayHaveLanded: false};
    this.items.push(asker ? {...item, asker} : item);
    this.count([item], 1);
    return true;
  }

  /**
   * Puts operations of a batch back to the front.
   * @param mayHaveLanded whether the batch may be, or come, in the stream
   */
  putBack(items: readonly QueuedOperation[], mayHaveLanded: boolean): void {
    const again = items.map(item => ({
      ...item,
      mayHaveLanded: item.mayHaveLanded || mayHaveLanded,
    }));
    this.items = [...again, ...this.items];
    this.count(again, 1);
  }

  /** Takes operations from the front whose encodings fit in `maxBytes`. */
  take(maxBytes: number): QueuedOperation[] {
    let bytes = 0;
    let count = 0;
    for (const item of this.items) {
      bytes += item.bytes;
      if (bytes > maxBytes) break;
      count++;
    }
    return this.drop(count);
  }

  /** Takes all claims and leaves releases and answers. */
  takeClaims(): QueuedOperation[] {
    return this.takeWhere(item => item.asker !== undefined);
  }

  /** Takes the claims whose askers wait no longer. */
  takeExpired(nowMs: number): QueuedOperation[] {
    return this.takeWhere(
      item => (item.asker?.deadlineMs ?? Infinity) <= nowMs,
    );
  }

  clear(): void {
    this.drop(this.items.length);
  }

  private takeWhere(test: (item: QueuedOperation) => boolean) {
    const taken = this.items.filter(test);
    if (taken.length === 0) return taken;
    this.items = this.items.filter(item => !test(item));
    this.count(taken, -1);
    return taken;
  }

  private drop(count: number): QueuedOperation[] {
    const taken = this.items.slice(0, count);
    this.items = this.items.slice(count);
    this.count(taken, -1);
    return taken;
  }

  private count(items: readonly QueuedOperation[], sign: 1 | -1): void {
    for (const {bytes, operation} of items) {
      this.bytes += sign * bytes;
      if (operation.type !== 'answer') this.urgent += sign;
    }
  }
}
