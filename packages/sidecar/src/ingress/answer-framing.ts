/** How an answer's headers state where its body ends. */

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
 * The headers of a whole answer, with the length of its body, so that a part of
 * it is never taken for the whole. Undefined if they state another length.
 */
export function framedHeaders(answer: MeasuredAnswer): FlatHeaders | undefined {
  const {method, status, headers, bytes} = answer;
  // Their length is that of the answer to another method or status.
  if (method === 'HEAD' || BODYLESS_STATUSES.has(status)) return headers;
  const kept = endToEndHeaders(headers);
  const stated = headerOf(kept, 'content-length');
  if (stated === undefined) return [...kept, 'content-length', String(bytes)];
  return Number(stated) === bytes ? kept : undefined;
}
