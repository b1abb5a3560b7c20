/** Collects the body of a request in one buffer. */

/**
 * Bytes from which a body of known length is copied into a buffer of that
 * length as it arrives. Joining the pieces at the end needs the memory twice.
 * Shorter bodies are joined: a length that is only stated reserves nothing.
 */
const MIN_COPIED_BYTES = 1024 * 1024;

export class BodyCollector {
  private pieces: Buffer[] = [];
  private whole: Buffer | undefined;
  private bytes = 0;

  /** `statedBytes`: the request's content-length; NaN without one. */
  constructor(private readonly statedBytes: number) {}

  add(piece: Buffer): void {
    if (!this.whole && this.bytes + piece.length >= MIN_COPIED_BYTES) {
      this.startCopying(piece.length);
    }
    if (this.whole) piece.copy(this.whole, this.bytes);
    else this.pieces.push(piece);
    this.bytes += piece.length;
  }

  /** Returns the body. */
  finish(): Buffer {
    return this.whole ?? Buffer.concat(this.pieces);
  }

  private startCopying(nextBytes: number): void {
    if (!(this.statedBytes >= this.bytes + nextBytes)) return;
    const whole = Buffer.allocUnsafeSlow(this.statedBytes);
    let offset = 0;
    for (const piece of this.pieces) offset += piece.copy(whole, offset);
    this.pieces = [];
    this.whole = whole;
  }
}
