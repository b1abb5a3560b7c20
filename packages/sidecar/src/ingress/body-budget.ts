/** The memory that a node has for the bodies of its callers' requests. */

/** Part of the process's memory that bodies may take, before any copies. */
const BODY_MEMORY_SHARE = 0.1;
const BYTES_PER_MB = 1024 * 1024;
/** Bytes of each body that take nothing from the budget. */
const FREE_BYTES = 64 * 1024;

/** Shared by all requests of one node. */
export class BodyBudget {
  private held = 0;

  constructor(private readonly maxBytes: number) {}

  /** The budget of a process that may use `memoryMb` in all. */
  static ofProcess(memoryMb: number): BodyBudget {
    return new BodyBudget(memoryMb * BODY_MEMORY_SHARE * BYTES_PER_MB);
  }

  /** Bytes of all bodies that count. */
  get heldBytes(): number {
    return this.held;
  }

  /**
   * Lets a body grow from `fromBytes` to `toBytes`. Returns false if there is
   * no room; a body that may have run cannot make any.
   */
  grow(fromBytes: number, toBytes: number): boolean {
    const added = countedBytes(toBytes) - countedBytes(fromBytes);
    if (added > 0 && this.held + added > this.maxBytes) return false;
    this.held += added;
    return true;
  }

  /** Takes back what a body of `bytes` held. */
  release(bytes: number): void {
    this.held -= countedBytes(bytes);
  }
}

function countedBytes(bytes: number): number {
  return Math.max(0, bytes - FREE_BYTES);
}
