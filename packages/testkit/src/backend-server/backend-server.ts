/** A stand-in for a backend server: announces itself and answers calls. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import {request} from 'undici';

const ANNOUNCE_INTERVAL_MS = 1000;

/** What the server tells of itself, and where. */
export interface BackendServerOptions {
  name: string;
  /** Backend server group as `team/name`. */
  group: string;
  slots: number;
  connections: number;
  /** Base URL of the announce socket of the node beside it. */
  announceUrl: string;
  /** Time in ms that a call takes. */
  workMs?: number;
}

/** One run of a request, for the audit. */
export interface RunRecord {
  method: string;
  path: string;
  requestId: string;
}

/** Answers each call with its own method, path, request id and body. */
export class BackendServer {
  readonly runs: RunRecord[] = [];
  private readonly server: Server;
  private readonly incarnation = Date.now();
  private timer: NodeJS.Timeout | undefined;
  private port = 0;
  private state: 'ready' | 'draining' = 'ready';

  constructor(private readonly options: BackendServerOptions) {
    this.server = createServer((req, res) => void this.answer(req, res));
    this.server.keepAliveTimeout = 60_000;
  }

  /** Listens on loopback and announces itself from now on. */
  async start(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
    await this.announce();
    this.timer = setInterval(() => {
      this.announce().catch(() => undefined);
    }, ANNOUNCE_INTERVAL_MS);
  }

  /** Takes no new calls from now on. */
  async drain(): Promise<void> {
    this.state = 'draining';
    await this.announce();
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  private async announce(): Promise<void> {
    const {name, group, slots, connections, announceUrl} = this.options;
    const res = await request(`${announceUrl}/v1/announce`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        name,
        group,
        slots,
        connections,
        address: '127.0.0.1',
        port: this.port,
        state: this.state,
        incarnation: this.incarnation,
      }),
    });
    await res.body.dump();
  }

  private async answer(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const requestId = String(req.headers['x-request-id'] ?? '');
    const method = req.method ?? '';
    const path = req.url ?? '';
    this.runs.push({method, path, requestId});
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const {workMs = 0} = this.options;
    if (workMs > 0) await new Promise(resolve => setTimeout(resolve, workMs));
    const body = Buffer.concat(chunks);
    res.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': body.length,
      'x-request-id': requestId,
      'x-served-by': this.options.name,
    });
    res.end(body);
  }
}
