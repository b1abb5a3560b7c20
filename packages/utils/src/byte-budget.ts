/** A bound on the bytes that many holders keep in memory together. */

/** Holders are told apart by identity. Keeps accounts only; drops no bytes. */
export class ByteBudget<Holder extends object> {
  private readonly held = new Map<Holder, number>();
  private total = 0;

  constructor(readonly maxBytes: number) {}

  /** Bytes of all holders. */
  get reservedBytes(): number {
    return this.total;
  }

  /** Bytes of one holder. */
  reservedBy(holder: Holder): number {
    return this.held.get(holder) ?? 0;
  }

  /**
   * Adds `bytes` to what `holder` keeps. Returns the holders that must drop all
   * of theirs to keep the bound, those with most bytes first; `holder` may be
   * among them. Their bytes are released by then.
   */
  reserve(holder: Holder, bytes: number): Holder[] {
    this.held.set(holder, this.reservedBy(holder) + bytes);
    this.total += bytes;
    const dropping: Holder[] = [];
    while (this.total > this.maxBytes) {
      const largest = this.largest();
      if (!largest) break;
      this.release(largest);
      dropping.push(largest);
    }
    return dropping;
  }

  /** Takes back `bytes` of what `holder` keeps, all if left out. */
  release(holder: Holder, bytes = Infinity): void {
    const kept = this.reservedBy(holder);
    const released = Math.min(bytes, kept);
    this.total -= released;
    if (released < kept) this.held.set(holder, kept - released);
    else this.held.delete(holder);
  }

  private largest(): Holder | undefined {
    let found: Holder | undefined;
    let most = 0;
    for (const [holder, bytes] of this.held) {
      if (bytes <= most) continue;
      found = holder;
      most = bytes;
    }
    return found;
  }
}
