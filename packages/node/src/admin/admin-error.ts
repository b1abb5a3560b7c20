/** Error codes of the administration API and their HTTP status. */

/** Stable identifiers of the kinds of errors. */
export type AdminErrorCode =
  | 'bad-request'
  | 'body-too-large'
  | 'header-too-large'
  | 'internal'
  | 'invalid-body'
  | 'method-not-allowed'
  | 'not-found'
  | 'not-json'
  | 'not-this-node'
  | 'timeout'
  | 'unauthorized'
  | 'unknown-server';

/** An error, sent in the body as `{error: ...}`. */
export interface AdminError {
  code: AdminErrorCode;
  message: string;
}

/** HTTP status of each code. */
export const ADMIN_ERROR_STATUS: Readonly<Record<AdminErrorCode, number>> = {
  'bad-request': 400,
  'body-too-large': 413,
  'header-too-large': 431,
  internal: 500,
  'invalid-body': 400,
  'method-not-allowed': 405,
  'not-found': 404,
  'not-json': 415,
  'not-this-node': 421,
  timeout: 408,
  unauthorized: 401,
  'unknown-server': 404,
};
