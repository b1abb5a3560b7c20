/** The access token of the administration API. */

import {createHash, timingSafeEqual} from 'node:crypto';

const BEARER = 'Bearer ';

/** Compares tokens without telling by its duration how far they agree. */
export class AccessToken {
  private readonly expected: Buffer;

  constructor(token: string) {
    this.expected = digestOf(token);
  }

  /** True when the `authorization` header carries the token. */
  isIn(authorization: string | undefined): boolean {
    if (!authorization?.startsWith(BEARER)) return false;
    const given = digestOf(authorization.slice(BEARER.length));
    return timingSafeEqual(given, this.expected);
  }
}

function digestOf(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}
