/** Answers to requests that their key does not admit. */

import type {KeyRefusal} from '../tenants/tenant-directory.js';
import type {LocalAnswer} from './caller-request.js';

/**
 * Time in ms in which a node that has missed the notices of its source usually
 * has a confirmed configuration again: two intervals between notices.
 */
const CONFIRMATION_WAIT_MS = 600;

/**
 * Returns the answer for a request that has not run. `retryDelayMs` turns the
 * expected wait in ms into the time in ms after which the caller may retry.
 */
export function keyRejection(
  reason: KeyRefusal,
  retryDelayMs: (waitMs: number) => number,
): LocalAnswer {
  if (reason === 'unknown-key') return {status: 401, reason};
  return {
    status: 503,
    reason,
    retryAfterMs: retryDelayMs(CONFIRMATION_WAIT_MS),
  };
}
