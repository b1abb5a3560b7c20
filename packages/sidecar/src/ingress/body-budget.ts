/** Bounds the memory that a node uses for bodies of requests. */

import type {MemoryAccount} from '../memory/memory-account.js';
import type {MemoryLimits} from '../memory/memory-limits.js';

/** Bytes of each body that do not count towards the budget. */
const UNCOUNTED_BYTES = 64 * 1024;

/** Shared by the requests of callers and those of other nodes. */
export class BodyBudget {
  private reserved = 0;

  /** `maxLoneBytes`: limit on a body while no other one is counted. */
  constructor(
    private readonly maxBytes: number,
    private readonly maxLoneBytes = maxBytes,
    private readonly account?: MemoryAccount,
  ) {}

  /** Creates the budget of a process; its bytes count in the account. */
  static ofProcess(
    {bodyBytes, loneBodyBytes}: MemoryLimits,
    account: MemoryAccount,
  ): BodyBudget {
    return new BodyBudget(bodyBytes, loneBodyBytes, account);
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
    const ownBytes = countedBytes(fromBytes);
    const addedBytes = countedBytes(toBytes) - ownBytes;
    const isLone = this.reserved === ownBytes;
    const maxBytes = isLone ? this.maxLoneBytes : this.maxBytes;
    if (addedBytes > 0 && this.reserved + addedBytes > maxBytes) return false;
    this.add(addedBytes);
    return true;
  }

  /** Releases what was reserved for a body of `bytes`. */
  release(bytes: number): void {
    this.add(-countedBytes(bytes));
  }

  private add(bytes: number): void {
    this.reserved += bytes;
    this.account?.add('bodies', bytes);
  }
}

function countedBytes(bytes: number): number {
  return Math.max(0, bytes - UNCOUNTED_BYTES);
}
