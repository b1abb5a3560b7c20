/**
 * Checks the lines of an answer that are not its body. The parser skips a line
 * that is no header field, and so joins a head that breaks off with the answer
 * that follows on the connection. Of a status it reads the first three digits,
 * whatever they are.
 */

/** A header field; no folding over lines (RFC 9112, 5.2). */
const HEADER_FIELD = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:/;
/** A status line; its code is three digits from 100 to 599 (RFC 9110, 15). */
const STATUS_LINE = /^HTTP\/\d\.\d [1-5]\d\d(?: |$)/;
/** What every status line begins with. */
const STATUS_LINE_START = 'HTTP/';
/** A status line that does not begin its line. */
const INNER_STATUS_LINE = /.HTTP\/\d\.\d \d{3}/;

/** Throws unless `line` may be a line of the head or of the trailers. */
export function checkAnswerLine(state: string, line: string): void {
  const isField = state === 'HEADER' || state === 'BODY_CHUNKTRAILERS';
  if (!isField && state !== 'RESPONSE_LINE') return;
  if (INNER_STATUS_LINE.test(line)) {
    throw new Error('a status line within another line');
  }
  if (!isField && line !== '' && !STATUS_LINE.test(line)) {
    throw new Error('a line that is no status line');
  }
  if (isField && line !== '' && !HEADER_FIELD.test(line)) {
    throw new Error('a line that is no header field');
  }
}

/** True if an answer may begin with `text`, of which more may follow. */
export function mayBeginAnswer(text: string): boolean {
  const length = Math.min(text.length, STATUS_LINE_START.length);
  return text.slice(0, length) === STATUS_LINE_START.slice(0, length);
}

/**
 * Throws unless `text`, the beginning of a line, may be that of a status line or
 * of an empty line before it.
 */
export function checkStatusLineStart(text: string): void {
  if (text !== '\r' && !mayBeginAnswer(text)) {
    throw new Error('a line that is no status line');
  }
}
