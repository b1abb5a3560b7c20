/** The access token of the administration API. */

import {createHash, timingSafeEqual} from 'node:crypto';

const BEARER = 'Bearer ';

/** Compares tokens in constant time, to prevent timing attacks. */
export class AccessToken {
  private readonly expected: Buffer;

  constructor(token: string) {
    this.expected = digestOf(token);
  }

  /** True if an `authorization` header contains the token. */
  matches(authorization: string | undefined): boolean {
    if (!authorization?.startsWith(BEARER)) return false;
    const received = digestOf(authorization.slice(BEARER.length));
    return timingSafeEqual(received, this.expected);
  }
}

function digestOf(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}
