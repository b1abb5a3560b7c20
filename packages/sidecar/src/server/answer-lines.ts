/** Bounds the lines of an answer: all of its bytes that are not its body. */

/** Parts of an answer that consist of lines. */
type LinePart = 'head' | 'chunk' | 'trailers';

/**
 * Most bytes of each part. `head`: all lines before a body, informational and
 * foreign answers included. `chunk`: the lines between two pieces of the body.
 */
const MAX_PART_BYTES: Readonly<Record<LinePart, number>> = {
  head: 64 * 1024,
  chunk: 1024,
  trailers: 16 * 1024,
};
/** Bytes of chunk lines that any body may have beyond as many as its own. */
const FREE_CHUNK_BYTES = 64 * 1024;

/** The library's names of the parser's states in which it reads a line. */
const PARTS: Readonly<Record<string, LinePart>> = {
  RESPONSE_LINE: 'head',
  HEADER: 'head',
  BODY_CHUNKHEAD: 'chunk',
  BODY_CHUNKEMPTYLINE: 'chunk',
  BODY_CHUNKTRAILERS: 'trailers',
};

export class AnswerLines {
  private bytes: Record<LinePart, number> = {head: 0, chunk: 0, trailers: 0};
  private bodyBytes = 0;
  private allChunkBytes = 0;

  /** Notes bytes of a line, whole or not; throws when its part is too long. */
  note(state: string, bytes: number): void {
    const part = PARTS[state] ?? 'head';
    this.bytes[part] += bytes;
    if (part === 'chunk') this.allChunkBytes += bytes;
    const allowedBytes = FREE_CHUNK_BYTES + this.bodyBytes;
    const isLong = this.bytes[part] > MAX_PART_BYTES[part];
    if (isLong || this.allChunkBytes > allowedBytes) {
      throw new Error(`${part} too long`);
    }
  }

  /** Notes a piece of the body. */
  noteBody(bytes: number): void {
    this.bodyBytes += bytes;
    this.bytes.chunk = 0;
  }
}
