/** Account of all bytes that a process holds for others. */

/**
 * What bytes are held for. `answers`: answers without their end, and complete
 * ones that wait for their turn to another node. `callers`: bytes written to
 * callers and not yet taken by their sockets. `bodies`: bodies of requests.
 * `peers`: bytes written to other nodes and not yet taken by their sockets.
 */
export type HeldKind = 'answers' | 'callers' | 'bodies' | 'peers';

/** Bytes added between two comparisons with the limit; the sum has a cost. */
const CHECK_BYTES = 64 * 1024;

export const HELD_KINDS: readonly HeldKind[] = [
  'answers',
  'callers',
  'bodies',
  'peers',
];

/**
 * Load pattern: a crowd of callers that read long answers slowly while requests
 * of others go on. Each kind is small by its own limit, and their sum is not.
 */
export class MemoryAccount {
  /** Called when the sum exceeds the limit; is to free bytes of callers. */
  onExcess: (() => void) | undefined;
  /** Returns the bytes of the kind `peers`, which sockets count themselves. */
  peerBytes: () => number = () => 0;
  private uncheckedBytes = 0;
  private readonly bytes = {answers: 0, callers: 0, bodies: 0};

  constructor(readonly maxBytes: number) {}

  /** Bytes held for one purpose. */
  bytesOf(kind: HeldKind): number {
    return kind === 'peers' ? this.peerBytes() : this.bytes[kind];
  }

  /** Bytes above the limit; 0 if there are none. */
  get excessBytes(): number {
    const heldBytes = HELD_KINDS.reduce(
      (sum, kind) => sum + this.bytesOf(kind),
      0,
    );
    return Math.max(0, heldBytes - this.maxBytes);
  }

  /** Adds bytes; a negative number releases them. */
  add(kind: Exclude<HeldKind, 'peers'>, bytes: number): void {
    this.bytes[kind] += bytes;
    this.uncheckedBytes += Math.max(0, bytes);
    if (this.uncheckedBytes < CHECK_BYTES) return;
    this.uncheckedBytes = 0;
    if (this.excessBytes > 0) this.onExcess?.();
  }
}
