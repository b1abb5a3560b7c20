/** Gathers the body of an answer in a few blocks, however small its pieces. */

import {BLOCK_BYTES, type BlockPool} from './block-pool.js';

/** Least size of a block in bytes. */
const MIN_BLOCK_BYTES = 1024;

export class AnswerBody {
  private blocks: Buffer[] = [];
  /** Bytes in use of the last block. */
  private filled = 0;
  private length = 0;

  constructor(private readonly pool: BlockPool) {}

  /** Copies a piece; returns the bytes of memory that were added for it. */
  append(piece: Buffer): number {
    let added = 0;
    for (let at = 0; at < piece.length;) {
      let block = this.blocks.at(-1);
      if (!block || this.filled === block.length) {
        block = this.nextBlock(piece.length - at);
        this.blocks.push(block);
        this.filled = 0;
        added += block.length;
      }
      const copied = piece.copy(block, this.filled, at);
      this.filled += copied;
      this.length += copied;
      at += copied;
    }
    return added;
  }

  /** Hands over the body's bytes in order, one buffer for each block. */
  take(): Buffer[] {
    const {blocks} = this;
    const last = blocks.pop();
    if (last) blocks.push(last.subarray(0, this.filled));
    this.clear();
    return blocks;
  }

  /** Drops the body; its blocks may be used for others at once. */
  discard(): void {
    for (const block of this.blocks) {
      if (block.length === BLOCK_BYTES) this.pool.give(block);
    }
    this.clear();
  }

  private clear(): void {
    this.blocks = [];
    this.filled = 0;
    this.length = 0;
  }

  /** Doubles the memory until blocks are large, so that little lies idle. */
  private nextBlock(neededBytes: number): Buffer {
    const size = Math.max(neededBytes, this.length, MIN_BLOCK_BYTES);
    if (size >= BLOCK_BYTES) return this.pool.take();
    return Buffer.allocUnsafe(size);
  }
}
