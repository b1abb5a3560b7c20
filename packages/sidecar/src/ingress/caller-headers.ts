/** Facts that the headers of a caller's request state. */

import type {IncomingMessage} from 'node:http';

import {REMAINING_TIME_HEADER} from '@turmericmill/platform-adapter';

/** Time in ms that the caller will wait; Infinity if it states none. */
export function remainingTimeMs(req: IncomingMessage): number {
  const value = req.headers[REMAINING_TIME_HEADER];
  const ms = typeof value === 'string' ? Number(value) : NaN;
  return Number.isFinite(ms) && ms > 0 ? ms : Infinity;
}

export function headerBytes(req: IncomingMessage): number {
  return req.rawHeaders.reduce((sum, text) => sum + text.length, 0);
}
