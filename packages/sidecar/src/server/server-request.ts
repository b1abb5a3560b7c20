/** Serializes requests to the backend server. */

import type {CallHead} from '@turmericmill/node';
import {endToEndHeaders, headerOf, replaceHeaders} from '@turmericmill/node';
import {
  CALLER_SERVICE_HEADER,
  EXPECTED_SERVER_HEADER,
  REMAINING_TIME_HEADER,
  REQUEST_ID_HEADER,
  TENANT_HEADER,
} from '@turmericmill/platform-adapter';

import type {WireRequest} from './server-connection.js';

const FRAMING_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'transfer-encoding',
]);
/** Methods whose requests get no Content-Length if their body is empty. */
const BODYLESS_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'DELETE',
]);

/** Serializes a request to the server with the id `serverId`. */
export function serializeRequest(
  head: CallHead,
  body: readonly Uint8Array[],
  serverId: string,
  nowMs: number,
): WireRequest {
  const remainingMs = Math.max(1, Math.floor(head.deadlineMs - nowMs));
  const headers = replaceHeaders(endToEndHeaders(head.headers), {
    [REMAINING_TIME_HEADER]: String(remainingMs),
    [EXPECTED_SERVER_HEADER]: serverId,
    [CALLER_SERVICE_HEADER]: head.customer,
    ...(head.tenant !== undefined && {[TENANT_HEADER]: head.tenant}),
  });
  const lines = [`${head.method} ${head.path} HTTP/1.1`];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    if (FRAMING_HEADERS.has(name.toLowerCase())) continue;
    lines.push(`${name}: ${headers[i + 1] as string}`);
  }
  const bodyBytes = body.reduce((sum, chunk) => sum + chunk.length, 0);
  if (bodyBytes > 0 || !BODYLESS_METHODS.has(head.method)) {
    lines.push(`Content-Length: ${bodyBytes}`);
  }
  return {
    head: Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'),
    body,
    requestId: headerOf(head.headers, REQUEST_ID_HEADER),
    bodyless: head.method === 'HEAD',
  };
}
