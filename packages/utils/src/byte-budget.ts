/** Limit on the bytes that several holders buffer in memory together. */

export interface ByteBudgetOptions {
  /** Limit in bytes on a holder while it is the only one; by default the same. */
  maxLoneBytes?: number;
  /** Called after each change of the sum, with the difference in bytes. */
  onChange?(bytes: number): void;
}

/**
 * Accounts for the bytes of each holder, but does not free memory itself.
 * Holders are distinguished by identity.
 */
export class ByteBudget<Holder extends object> {
  private readonly reserved = new Map<Holder, number>();
  private totalBytes = 0;

  constructor(
    readonly maxBytes: number,
    private readonly options: ByteBudgetOptions = {},
  ) {}

  /** Bytes reserved by all holders. */
  get reservedBytes(): number {
    return this.totalBytes;
  }

  /** Bytes reserved by one holder. */
  reservedBy(holder: Holder): number {
    return this.reserved.get(holder) ?? 0;
  }

  /**
   * Reserves `bytes` for `holder`. Returns the holders that must free all their
   * bytes to stay within the limit, largest first; `holder` may be one of them.
   * Their reservations are already released.
   */
  reserve(holder: Holder, bytes: number): Holder[] {
    this.reserved.set(holder, this.reservedBy(holder) + bytes);
    this.addToTotal(bytes);
    const evicted: Holder[] = [];
    while (this.totalBytes > this.maxBytes) {
      const largest = this.largest();
      if (!largest || this.isLone(largest)) break;
      this.release(largest);
      evicted.push(largest);
    }
    return evicted;
  }

  /** Releases `bytes` of `holder`, by default all. */
  release(holder: Holder, bytes = Infinity): void {
    const reserved = this.reservedBy(holder);
    const released = Math.min(bytes, reserved);
    this.addToTotal(-released);
    if (released < reserved) this.reserved.set(holder, reserved - released);
    else this.reserved.delete(holder);
  }

  private addToTotal(bytes: number): void {
    this.totalBytes += bytes;
    this.options.onChange?.(bytes);
  }

  /** True if the holder may exceed the limit because it is the only one. */
  private isLone(holder: Holder): boolean {
    const {maxLoneBytes = this.maxBytes} = this.options;
    const isOnly = this.reservedBy(holder) === this.totalBytes;
    return isOnly && this.totalBytes <= maxLoneBytes;
  }

  private largest(): Holder | undefined {
    let found: Holder | undefined;
    let maxBytes = 0;
    for (const [holder, bytes] of this.reserved) {
      if (bytes <= maxBytes) continue;
      found = holder;
      maxBytes = bytes;
    }
    return found;
  }
}
