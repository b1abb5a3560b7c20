/** Checks and adds the content-length of a complete answer. */

import {endToEndHeaders, headerOf} from '@turmericmill/node';
import type {FlatHeaders} from '@turmericmill/wire';

const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** An answer and the number of bytes of its body. */
export interface MeasuredAnswer {
  /** Method of the request. */
  method: string;
  status: number;
  headers: FlatHeaders;
  bytes: number;
}

/**
 * Returns the headers of a complete answer with the length of its body, so that
 * a truncated body is never taken for the whole. Returns undefined if the
 * stated content-length is not `bytes`.
 */
export function framedHeaders(answer: MeasuredAnswer): FlatHeaders | undefined {
  const {method, status, headers, bytes} = answer;
  // These answers have no body: a content-length states the size of the body
  // that another method or status would have.
  if (method === 'HEAD' || BODYLESS_STATUSES.has(status)) return headers;
  const kept = endToEndHeaders(headers);
  const length = headerOf(kept, 'content-length');
  if (length === undefined) return [...kept, 'content-length', String(bytes)];
  return Number(length) === bytes ? kept : undefined;
}
