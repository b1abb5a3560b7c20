/** Decides by the head of an answer how its body ends. */

import {Err, Ok, type Result} from '@turmericmill/utils';

/** The parts of a head that frame the body. */
export interface AnswerHead {
  status: number;
  /** Major and minor version, such as `1.1`. */
  httpVersion: string;
  /** Names and values in turn, in the order received. */
  headers: readonly string[];
}

/**
 * `none`: there is no body. `length`: the body has the stated length. `chunks`:
 * it ends with its last chunk. `connection-end`: it ends with its connection.
 */
export type AnswerFraming = 'none' | 'length' | 'chunks' | 'connection-end';

const LENGTH = /^\d+$/;
/** Coding names are compared without case (RFC 9112, 7). */
const CHUNKED = /^chunked$/i;
const NOT_MODIFIED = 304;

/**
 * Returns how the body ends (RFC 9112, 6.3), or why the head states no sound
 * end. A coding other than `chunked` and a missing length are refused where the
 * RFC would read until the connection ends: a head that was spoilt on the way
 * looks the same, and its body would be another than the server's.
 *
 * `isBodyless`: the request was a HEAD, whose answers have no body.
 */
export function decideFraming(
  {status, httpVersion, headers}: AnswerHead,
  isBodyless: boolean,
): Result<AnswerFraming, string> {
  const lengths = valuesOf(headers, 'content-length');
  const codings = valuesOf(headers, 'transfer-encoding');
  if (lengths.length + codings.length > 1) {
    return Err('more than one length or transfer coding');
  }
  const [length] = lengths;
  const [coding] = codings;
  if (length !== undefined && !LENGTH.test(length)) {
    return Err('malformed content-length');
  }
  if (coding !== undefined && !CHUNKED.test(coding)) {
    return Err('a transfer coding other than chunked');
  }
  if (isBodyless || status === NOT_MODIFIED) return Ok('none');
  if (status < 200 || status === 204) {
    const hasBody = coding !== undefined || Number(length ?? 0) > 0;
    return hasBody ? Err(`a body with status ${status}`) : Ok('none');
  }
  if (length !== undefined) return Ok('length');
  if (coding !== undefined) return Ok('chunks');
  return endsConnection(httpVersion, headers)
    ? Ok('connection-end')
    : Err('no length, and the connection is not stated to end');
}

/** True if the server has to end the connection (RFC 9112, 9.3). */
function endsConnection(
  httpVersion: string,
  headers: readonly string[],
): boolean {
  const options = valuesOf(headers, 'connection')
    .flatMap(value => value.split(','))
    .map(option => option.trim().toLowerCase());
  if (options.includes('close')) return true;
  return httpVersion === '1.0' && !options.includes('keep-alive');
}

/** Returns the values of the fields with this lower-case name. */
function valuesOf(headers: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]?.toLowerCase() === name) values.push(headers[i + 1] ?? '');
  }
  return values;
}
