/** Stand-in for a backend server, on raw sockets to control every byte. */

import {request} from 'node:http';
import {createServer} from 'node:net';

const HEAD_END = '\r\n\r\n';
const BEAT_INTERVAL_MS = 1_500;
const REPORT_TIMEOUT_MS = 1_000;

/** Formats an answer; `headers` are name and value in turn. */
export function formatAnswer(statusLine, headers, body = '') {
  const lines = [`HTTP/1.1 ${statusLine}`];
  for (let i = 0; i < headers.length; i += 2) {
    lines.push(`${headers[i]}: ${headers[i + 1]}`);
  }
  lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  return `${lines.join('\r\n')}${HEAD_END}${body}`;
}

export function sealOf(requestId, status) {
  return `seal.${requestId}.${status}`;
}

/** Reads requests from a connection one after the other. */
class RequestReader {
  constructor(onRequest) {
    this.onRequest = onRequest;
    this.bytes = Buffer.alloc(0);
  }

  push(chunk) {
    this.bytes = Buffer.concat([this.bytes, chunk]);
    for (;;) {
      const headEnd = this.bytes.indexOf(HEAD_END);
      if (headEnd < 0) return;
      const lines = this.bytes.toString('latin1', 0, headEnd).split('\r\n');
      // Servers ignore an empty line before a request (RFC 9112, 2.2).
      while (lines[0] === '') lines.shift();
      const [requestLine = '', ...headerLines] = lines;
      const headers = new Map(
        headerLines.map(line => {
          const colon = line.indexOf(':');
          const name = line.slice(0, colon).toLowerCase();
          return [name, line.slice(colon + 1).trim()];
        }),
      );
      const bodyBegin = headEnd + HEAD_END.length;
      const bodyEnd = bodyBegin + Number(headers.get('content-length') ?? 0);
      if (this.bytes.length < bodyEnd) return;
      const body = this.bytes.subarray(bodyBegin, bodyEnd);
      this.bytes = this.bytes.subarray(bodyEnd);
      const [method, path] = requestLine.split(' ');
      this.onRequest({method, path, headers, body: body.toString('latin1')});
    }
  }
}

export class Backend {
  running = 0;
  sequence = 0;
  bornMs = Date.now();
  sockets = new Set();
  beatTimer = undefined;

  /**
   * `run(req, connection)` returns or resolves with the bytes to write, or with
   * undefined to write none. `connection` is an object for the case's own use,
   * with `write(bytes)`, `end()` and `reset()`.
   */
  constructor({id, service, address, port, control, slots, run, record}) {
    this.options = {id, service, address, port, control, slots};
    this.run = run;
    this.record = record;
    this.server = createServer({noDelay: true}, socket => this.accept(socket));
  }

  async listen() {
    const {address, port} = this.options;
    await new Promise(resolve => this.server.listen(port, address, resolve));
  }

  /** Ends the server as its process would. */
  close() {
    this.stopBeats();
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  startBeats() {
    const beat = () =>
      this.report('ready').catch(err => this.record(`beat: ${err.message}`));
    this.beatTimer = setInterval(beat, BEAT_INTERVAL_MS);
    return this.report('ready');
  }

  stopBeats() {
    clearInterval(this.beatTimer);
  }

  /** Makes a heartbeat, to be sent now or later. */
  createBeat(state) {
    const {service, address, port, slots} = this.options;
    this.sequence += 1;
    return {
      service,
      address: `${address}:${port}`,
      zone: 'zone-1',
      version: 'v1',
      slots,
      state,
      warmup_left: '0ms',
      sequence: this.sequence,
      born: this.bornMs,
    };
  }

  report(state) {
    return this.sendBeat(this.createBeat(state));
  }

  sendBeat(beat) {
    return this.post('heartbeat', beat);
  }

  deregister() {
    return this.post('deregister', {born: this.bornMs});
  }

  /** Resolves with the status of the acknowledgement. */
  post(call, body) {
    const {id, control} = this.options;
    const path = `/api/instances/${id}/${call}`;
    const options = {...control, method: 'POST', path, agent: false};
    return new Promise((resolve, reject) => {
      const req = request(options, res => {
        res.resume();
        res.once('end', () => resolve(res.statusCode));
      });
      req.setTimeout(REPORT_TIMEOUT_MS, () => {
        req.destroy(new Error(`no acknowledgement of a ${call} in a second`));
      });
      req.once('error', reject);
      req.setHeader('content-type', 'application/json');
      req.end(JSON.stringify(body));
    });
  }

  accept(socket) {
    this.sockets.add(socket);
    const connection = {
      write: bytes => socket.write(bytes),
      end: () => socket.end(),
      reset: () => socket.resetAndDestroy(),
    };
    const reader = new RequestReader(req => void this.serve(req, connection));
    socket.on('data', chunk => reader.push(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
  }

  async serve(req, connection) {
    const {id} = this.options;
    const requestId = req.headers.get('x-turmericmill-request-id') ?? '';
    if (req.headers.get('x-turmericmill-expected-instance') !== id) {
      connection.write(
        formatAnswer('421 Misdirected Request', [
          'X-Turmericmill-Instance-Id',
          id,
          'X-Turmericmill-Request-Id',
          requestId,
        ]),
      );
      return;
    }
    this.running += 1;
    const bytes = await this.run({...req, requestId}, connection);
    this.running -= 1;
    if (bytes !== undefined) connection.write(bytes);
  }
}
