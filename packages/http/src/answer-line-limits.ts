/** Limits the bytes of an answer that are not its body: those of its lines. */

/** Parts of an answer that consist of lines. */
type LinePart = 'head' | 'chunk' | 'trailers';

/**
 * Most bytes of each part. `head`: all lines before the body, with those of
 * informational answers and of answers to other requests. `chunk`: the lines
 * between two pieces of the body.
 */
const MAX_PART_BYTES: Readonly<Record<LinePart, number>> = {
  head: 64 * 1024,
  chunk: 1024,
  trailers: 16 * 1024,
};
/** Chunk line bytes allowed for any body, beyond one for each body byte. */
const CHUNK_LINE_ALLOWANCE_BYTES = 64 * 1024;

/** Parts by the library's names of the parser states that read a line. */
const PART_OF_STATE: Readonly<Record<string, LinePart>> = {
  RESPONSE_LINE: 'head',
  HEADER: 'head',
  BODY_CHUNKHEAD: 'chunk',
  BODY_CHUNKEMPTYLINE: 'chunk',
  BODY_CHUNKTRAILERS: 'trailers',
};

export class AnswerLineLimits {
  private bytes: Record<LinePart, number> = {head: 0, chunk: 0, trailers: 0};
  private bodyBytes = 0;
  private totalChunkLineBytes = 0;

  /** Records bytes of a whole or partial line; throws if over a limit. */
  recordLine(state: string, bytes: number): void {
    const part = PART_OF_STATE[state] ?? 'head';
    this.bytes[part] += bytes;
    if (part === 'chunk') this.totalChunkLineBytes += bytes;
    const allowedBytes = CHUNK_LINE_ALLOWANCE_BYTES + this.bodyBytes;
    const isPartTooLong = this.bytes[part] > MAX_PART_BYTES[part];
    if (isPartTooLong || this.totalChunkLineBytes > allowedBytes) {
      throw new Error(`the lines of the ${part} exceed their byte limit`);
    }
  }

  /** Records bytes of the body. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
    this.bytes.chunk = 0;
  }
}
