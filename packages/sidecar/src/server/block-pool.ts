/** Blocks of memory for bodies, used again without garbage collection. */

/** Size of a block in bytes. */
export const BLOCK_BYTES = 64 * 1024;

export class BlockPool {
  private readonly free: Buffer[] = [];

  /** Keeps at most `maxFreeBlocks` that nobody uses. */
  constructor(private readonly maxFreeBlocks: number) {}

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes a block back that nothing refers to any more. */
  give(block: Buffer): void {
    if (this.free.length < this.maxFreeBlocks) this.free.push(block);
  }
}
