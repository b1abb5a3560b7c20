/** Identity of a request for quarantine. */

import {createHash} from 'node:crypto';

/** Maximum number of leading bytes of the body that the fingerprint covers. */
export const FINGERPRINT_BODY_BYTES = 4_096;
const FINGERPRINT_CHARS = 22;

/** The parts of a request that stay equal when it is sent again. */
export interface FingerprintParts {
  method: string;
  /** Path with its query. */
  path: string;
  customer: string;
  /** The part of the body that has arrived when the call starts. */
  bodyStart: Uint8Array;
}

/** A short digest that is equal for a request and its retries. */
export function fingerprint(parts: FingerprintParts): string {
  const hash = createHash('sha256');
  const head = JSON.stringify([parts.method, parts.path, parts.customer]);
  hash.update(head);
  hash.update(parts.bodyStart.subarray(0, FINGERPRINT_BODY_BYTES));
  return hash.digest('base64url').slice(0, FINGERPRINT_CHARS);
}
