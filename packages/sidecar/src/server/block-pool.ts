/** Pool of memory blocks for bodies, reused without garbage collection. */

export const BLOCK_BYTES = 64 * 1024;

export class BlockPool {
  private readonly free: Buffer[] = [];

  /** Keeps at most `maxFreeBlocks` unused blocks. */
  constructor(private readonly maxFreeBlocks: number) {}

  acquire(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Returns a block to the pool; nothing may refer to it any more. */
  release(block: Buffer): void {
    if (this.free.length < this.maxFreeBlocks) this.free.push(block);
  }
}
