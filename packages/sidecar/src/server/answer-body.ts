/** Buffers the body of an answer in a few blocks, however small its pieces. */

import {BLOCK_BYTES, type BlockPool} from './block-pool.js';

const MIN_BLOCK_BYTES = 1024;

export class AnswerBody {
  private blocks: Buffer[] = [];
  /** Bytes of the last block that are in use. */
  private filledBytes = 0;
  private length = 0;

  constructor(private readonly pool: BlockPool) {}

  /** Copies a piece; returns the bytes of memory allocated for it. */
  append(piece: Buffer): number {
    let allocatedBytes = 0;
    for (let offset = 0; offset < piece.length;) {
      let block = this.blocks.at(-1);
      if (!block || this.filledBytes === block.length) {
        block = this.allocateBlock(piece.length - offset);
        this.blocks.push(block);
        this.filledBytes = 0;
        allocatedBytes += block.length;
      }
      const copied = piece.copy(block, this.filledBytes, offset);
      this.filledBytes += copied;
      this.length += copied;
      offset += copied;
    }
    return allocatedBytes;
  }

  /** Removes and returns the body in order, as one buffer for each block. */
  extract(): Buffer[] {
    const {blocks} = this;
    const last = blocks.pop();
    if (last) blocks.push(last.subarray(0, this.filledBytes));
    this.clear();
    return blocks;
  }

  /** Discards the body and releases its blocks to the pool. */
  discard(): void {
    for (const block of this.blocks) {
      if (block.length === BLOCK_BYTES) this.pool.release(block);
    }
    this.clear();
  }

  private clear(): void {
    this.blocks = [];
    this.filledBytes = 0;
    this.length = 0;
  }

  /** Doubles the memory until blocks are large, so that little is unused. */
  private allocateBlock(neededBytes: number): Buffer {
    const size = Math.max(neededBytes, this.length, MIN_BLOCK_BYTES);
    if (size >= BLOCK_BYTES) return this.pool.acquire();
    return Buffer.allocUnsafe(size);
  }
}
