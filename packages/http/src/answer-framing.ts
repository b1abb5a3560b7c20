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

/**
 * Returns how the body ends, or why the head states no valid end.
 *
 * `isBodyless`: the request was a HEAD, whose answers have no body.
 */
export function decideFraming(
  {headers}: AnswerHead,
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
  if (isBodyless) return Ok('none');
  if (length !== undefined) return Ok('length');
  return Ok(coding?.toLowerCase() === 'chunked' ? 'chunks' : 'connection-end');
}

/** Returns the values of the fields with this lower-case name. */
function valuesOf(headers: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]?.toLowerCase() === name) values.push(headers[i + 1] ?? '');
  }
  return values;
}
