/** Queue of operations that wait for the next batch, in order of arrival. */

import {encodeOperation} from './claim-record.js';
import type {ClaimLogOperation} from './claim-record.js';

/** Sender of a claim request, and the deadline of the reply. */
export interface Sender {
  from: string;
  requestId: number;
  claimId: string;
  /** Time in ms after which a reply is useless. */
  deadlineMs: number;
}

/** An operation with its encoding. Only claims have a sender. */
export interface QueuedOperation {
  operation: ClaimLogOperation;
  encoded: string;
  bytes: number;
  sender?: Sender;
  /** True if an earlier batch with the operation may be in the stream. */
  mayBeInStream: boolean;
}

/** Bytes of the comma that separates two operations. */
const SEPARATOR_BYTES = 1;

/** A queue with a limit in bytes. */
export class ClaimQueue {
  private items: QueuedOperation[] = [];
  private bytes = 0;
  private urgentCount = 0;

  /**
   * @param maxBytes maximum total size in bytes, enforced by `push` only
   * @param maxItemBytes maximum size in bytes of one encoded operation
   */
  constructor(
    private readonly maxBytes: number,
    private readonly maxItemBytes: number,
  ) {}

  get length(): number {
    return this.items.length;
  }

  /** True if the queue contains claims or releases; answers alone can wait. */
  get isUrgent(): boolean {
    return this.urgentCount > 0;
  }

  /** Appends an operation; false if it is too large or the queue is full. */
  push(operation: ClaimLogOperation, sender?: Sender): boolean {
    const encoded = encodeOperation(operation);
    const bytes = Buffer.byteLength(encoded) + SEPARATOR_BYTES;
    if (bytes > this.maxItemBytes) return false;
    if (this.bytes + bytes > this.maxBytes) return false;
    const item = {operation, encoded, bytes, mayBeInStream: false};
    this.items.push(sender ? {...item, sender} : item);
    this.updateTotals([item], 1);
    return true;
  }

  /**
   * Puts the operations of a batch back at the front of the queue.
   * @param mayBeInStream whether the batch may be in the stream, now or later
   */
  putBack(items: readonly QueuedOperation[], mayBeInStream: boolean): void {
    const restored = items.map(item => ({
      ...item,
      mayBeInStream: item.mayBeInStream || mayBeInStream,
    }));
    this.items = [...restored, ...this.items];
    this.updateTotals(restored, 1);
  }

  /** Removes and returns the first operations that fit in `maxBytes`. */
  takeBatch(maxBytes: number): QueuedOperation[] {
    let bytes = 0;
    let count = 0;
    for (const item of this.items) {
      bytes += item.bytes;
      if (bytes > maxBytes) break;
      count++;
    }
    return this.removeFirst(count);
  }

  /** Removes and returns all claims; releases and answers stay. */
  takeClaims(): QueuedOperation[] {
    return this.takeWhere(item => item.sender !== undefined);
  }

  /** Removes and returns the claims whose deadline has passed. */
  takeExpired(nowMs: number): QueuedOperation[] {
    return this.takeWhere(
      item => (item.sender?.deadlineMs ?? Infinity) <= nowMs,
    );
  }

  clear(): void {
    this.removeFirst(this.items.length);
  }

  private takeWhere(test: (item: QueuedOperation) => boolean) {
    const taken = this.items.filter(test);
    if (taken.length === 0) return taken;
    this.items = this.items.filter(item => !test(item));
    this.updateTotals(taken, -1);
    return taken;
  }

  private removeFirst(count: number): QueuedOperation[] {
    const taken = this.items.slice(0, count);
    this.items = this.items.slice(count);
    this.updateTotals(taken, -1);
    return taken;
  }

  private updateTotals(items: readonly QueuedOperation[], sign: 1 | -1): void {
    for (const {bytes, operation} of items) {
      this.bytes += sign * bytes;
      if (operation.type !== 'answer') this.urgentCount += sign;
    }
  }
}
