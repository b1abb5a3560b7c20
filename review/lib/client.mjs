/** Stand-in for a client. */

import {connect} from 'node:net';

const HEAD_END = '\r\n\r\n';

let lastId = 0;
const prefix = process.pid.toString(16);

/** Returns an id that no other request has. */
export function newRequestId() {
  lastId += 1;
  return `${prefix}${lastId.toString(16).padStart(8, '0')}`;
}

/** Formats a request with its body. */
export function formatRequest({
  method = 'GET',
  host,
  path,
  body = '',
  deadlineMs,
  requestId,
}) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `X-Turmericmill-Request-Id: ${requestId}`,
    `X-Turmericmill-Request-Deadline: ${deadlineMs}`,
  ];
  if (method !== 'GET') lines.push(`Content-Length: ${body.length}`);
  return `${lines.join('\r\n')}${HEAD_END}${body}`;
}

/**
 * Sends one request on a new connection. Resolves with `status`, `headers` and
 * `body`, or with `ended` if the connection ended before a complete answer:
 * `closed`, an error code, or `timeout`.
 */
export function send({address, port}, req) {
  const {requestId = newRequestId(), deadlineMs} = req;
  const sentMs = Date.now();
  return new Promise(resolve => {
    const socket = connect({host: address, port, noDelay: true});
    let bytes = Buffer.alloc(0);
    const finish = result => {
      clearTimeout(timer);
      socket.destroy();
      resolve({requestId, tookMs: Date.now() - sentMs, ...result});
    };
    const timer = setTimeout(() => finish({ended: 'timeout'}), deadlineMs);
    socket.on('connect', () => {
      socket.write(formatRequest({...req, requestId}));
    });
    socket.on('data', chunk => {
      bytes = Buffer.concat([bytes, chunk]);
      const answer = parseAnswer(bytes);
      if (answer) finish(answer);
    });
    socket.on('error', err => finish({ended: err.code}));
    socket.on('close', () => finish({ended: 'closed'}));
  });
}

/**
 * Parses an answer at the start of `bytes`; its `bytes` are those that it takes.
 * Returns undefined until the answer is complete.
 */
export function parseAnswer(bytes) {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [statusLine, ...headerLines] = bytes
    .toString('latin1', 0, headEnd)
    .split('\r\n');
  const headers = new Map(
    headerLines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const length = Number(headers.get('content-length'));
  const begin = headEnd + HEAD_END.length;
  if (bytes.length < begin + length) return undefined;
  const body = bytes.toString('latin1', begin, begin + length);
  const status = Number(statusLine.split(' ')[1]);
  return {status, headers, body, bytes: begin + length};
}
