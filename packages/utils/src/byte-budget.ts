/** Limit on the bytes that several holders buffer in memory together. */

/**
 * Accounts for the bytes of each holder, but does not free memory itself.
 * Holders are distinguished by identity.
 */
export class ByteBudget<Holder extends object> {
  private readonly reserved = new Map<Holder, number>();
  private totalBytes = 0;

  constructor(readonly maxBytes: number) {}

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
    this.totalBytes += bytes;
    const evicted: Holder[] = [];
    while (this.totalBytes > this.maxBytes) {
      const largest = this.largest();
      if (!largest) break;
      this.release(largest);
      evicted.push(largest);
    }
    return evicted;
  }

  /** Releases `bytes` of `holder`, by default all. */
  release(holder: Holder, bytes = Infinity): void {
    const reserved = this.reservedBy(holder);
    const released = Math.min(bytes, reserved);
    this.totalBytes -= released;
    if (released < reserved) this.reserved.set(holder, reserved - released);
    else this.reserved.delete(holder);
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
