/** Reads request bodies whose size is limited. */

import type {IncomingMessage} from 'node:http';

/**
 * Reads a body to its end, so that the connection remains usable. Of a body
 * longer than `maxBytes`, returns only a prefix, which also exceeds `maxBytes`.
 */
export async function readText(
  req: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    if (bytes <= maxBytes) chunks.push(chunk as Buffer);
    bytes += (chunk as Buffer).length;
  }
  return Buffer.concat(chunks).toString();
}
