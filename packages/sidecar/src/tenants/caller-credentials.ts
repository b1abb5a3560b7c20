/** Separates the credentials in a caller's headers from what is forwarded. */

import {
  authorizationDigest,
  TENANT_HEADER,
} from '@turmericmill/platform-adapter';
import type {FlatHeaders} from '@turmericmill/wire';

const AUTHORIZATION_HEADER = 'authorization';

/** Credentials of one request. */
export interface CallerCredentials {
  /** Digest of the key; undefined without a key or with several. */
  digest: string | undefined;
  /** All other headers, without any that names a tenant. */
  headers: FlatHeaders;
}

/** Reads and removes the key, and removes any tenant that the caller names. */
export function takeCredentials(headers: FlatHeaders): CallerCredentials {
  const values: string[] = [];
  const kept: FlatHeaders = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    const value = headers[i + 1] as string;
    const lower = name.toLowerCase();
    if (lower === AUTHORIZATION_HEADER) values.push(value);
    else if (lower !== TENANT_HEADER) kept.push(name, value);
  }
  const [value] = values;
  // With several values it is open which of them the caller stands for.
  const digest =
    value !== undefined && values.length === 1
      ? authorizationDigest(value)
      : undefined;
  return {digest, headers: kept};
}

/** Removes any key and any tenant that the caller names. */
export function withoutCredentials(headers: FlatHeaders): FlatHeaders {
  const kept: FlatHeaders = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    const lower = name.toLowerCase();
    if (lower === AUTHORIZATION_HEADER || lower === TENANT_HEADER) continue;
    kept.push(name, headers[i + 1] as string);
  }
  return kept;
}
