/** Reads the bodies of short reports. */

import type {IncomingMessage} from 'node:http';

/**
 * Reads a body to its end, so that the connection can go on; of one that is
 * longer than `maxBytes` it keeps a beginning that exceeds them.
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
