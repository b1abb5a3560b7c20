/** Bounds the memory that a node uses for the bodies of callers' requests. */

/** Share of the process's memory that bodies may take, not counting copies. */
const BODY_MEMORY_SHARE = 0.1;
const BYTES_PER_MB = 1024 * 1024;
/** Bytes of each body that do not count towards the budget. */
const UNCOUNTED_BYTES = 64 * 1024;

/** Shared by all requests of one node. */
export class BodyBudget {
  private reserved = 0;

  constructor(private readonly maxBytes: number) {}

  /** Returns the budget of a process that may use `memoryMb` MiB in all. */
  static ofProcess(memoryMb: number): BodyBudget {
    return new BodyBudget(memoryMb * BODY_MEMORY_SHARE * BYTES_PER_MB);
  }

  /** Bytes of all bodies that count towards the budget. */
  get reservedBytes(): number {
    return this.reserved;
  }

  /**
   * Reserves the growth of a body from `fromBytes` to `toBytes`. Returns false
   * if there is no room: other bodies are not discarded to make some, as their
   * requests may have been executed.
   */
  grow(fromBytes: number, toBytes: number): boolean {
    const added = countedBytes(toBytes) - countedBytes(fromBytes);
    if (added > 0 && this.reserved + added > this.maxBytes) return false;
    this.reserved += added;
    return true;
  }

  /** Releases what was reserved for a body of `bytes`. */
  release(bytes: number): void {
    this.reserved -= countedBytes(bytes);
  }
}

function countedBytes(bytes: number): number {
  return Math.max(0, bytes - UNCOUNTED_BYTES);
}
