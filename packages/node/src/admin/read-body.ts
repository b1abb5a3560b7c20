/** Reads the body of an HTTP request up to a limit. */

import type {IncomingMessage} from 'node:http';

import {Err, Ok, type Result} from '@turmericmill/utils';

import type {AdminError} from './admin-error.js';

/** Returns the text of the body, or an error once it exceeds `maxBytes`. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<string, AdminError>> {
  const tooLarge: AdminError = {
    code: 'body-too-large',
    message: `The body exceeds ${maxBytes} bytes.`,
  };
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
    return Err(tooLarge);
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req.iterator({destroyOnReturn: false})) {
    const buffer = chunk as Buffer;
    bytes += buffer.length;
    if (bytes > maxBytes) return Err(tooLarge);
    chunks.push(buffer);
  }
  return Ok(Buffer.concat(chunks).toString('utf8'));
}
