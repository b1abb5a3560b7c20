/** Stand-in for an application server on one of the platform's hosts. */

import {
  createServer,
  request,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';

/** Path of the health check, to be named by the configurations of tests. */
export const HEALTH_PATH = '/health';
/** Paths that end so are answered with a body of `LONG_ANSWER_BYTES`. */
export const LONG_PATH_END = '/long';
export const LONG_ANSWER_BYTES = 200 * 1024;

/** A request that the server has started to run. */
export interface AppRun {
  requestId: string;
  path: string;
  callerService: string;
  /** Empty without one. */
  tenant: string;
  authorization: string | undefined;
  remainingMs: number;
}

export interface AppServerOptions {
  id: string;
  service: string;
  address: string;
  port: number;
  /** Address of the node that receives the reports. */
  control: {address: string; port: number};
  /** Initial run time of each request, in ms. */
  workMs: number;
  slots: number;
  /** Version that the server reports; `v1` if absent. */
  version?: string;
}

/**
 * Runs the requests that expect this server and answers 421 to all others.
 * Health checks are answered by whether the server is leaving.
 */
export class AppServer {
  readonly runs: AppRun[] = [];
  /** Number of requests whose connection closed before the answer was sent. */
  cancelled = 0;
  /** Run time in ms of each request that arrives from now on. */
  workMs: number;
  /** One of how many requests is answered with 500; 0: none. */
  failEvery = 0;
  /** False once the server has reported that it leaves. */
  isHealthy = true;
  private sequence = 0;
  private readonly bornMs = Date.now();
  private readonly server = createServer((req, res) =>
    this.handleRequest(req, res),
  );

  constructor(private readonly options: AppServerOptions) {
    this.workMs = options.workMs;
  }

  async listen(): Promise<void> {
    const {address, port} = this.options;
    await new Promise<void>(resolve => {
      this.server.listen(port, address, resolve);
    });
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Reports a state; resolves with the HTTP status of the acknowledgement. */
  report(state: 'ready' | 'draining'): Promise<number> {
    this.sequence += 1;
    if (state === 'draining') this.isHealthy = false;
    return this.sendReport(state, this.sequence);
  }

  /** Sends a report that was made before all others, as if it was delayed. */
  reportLate(state: 'ready' | 'draining'): Promise<number> {
    return this.sendReport(state, 0);
  }

  private sendReport(
    state: 'ready' | 'draining',
    sequence: number,
  ): Promise<number> {
    const {id, service, address, port, slots, version} = this.options;
    return this.post(`/api/instances/${id}/heartbeat`, {
      service,
      address: `${address}:${port}`,
      zone: 'zone-1',
      version: version ?? 'v1',
      slots,
      state,
      warmup_left: '0ms',
      sequence,
      born: this.bornMs,
    });
  }

  /** Deregisters the server; resolves with the HTTP status of the answer. */
  deregister(): Promise<number> {
    const {id} = this.options;
    this.isHealthy = false;
    return this.post(`/api/instances/${id}/deregister`, {born: this.bornMs});
  }

  private post(path: string, body: object): Promise<number> {
    const {address: host, port} = this.options.control;
    return new Promise((resolve, reject) => {
      const req = request(
        {host, port, method: 'POST', path, agent: false},
        res => {
          res.resume();
          res.once('end', () => resolve(res.statusCode ?? 0));
        },
      );
      req.once('error', reject);
      req.end(JSON.stringify(body));
    });
  }

  private handleRequest(req: IncomingMessage, res: ServerResponse): void {
    const {id} = this.options;
    const {workMs} = this;
    if (req.url === HEALTH_PATH) {
      const status = this.isHealthy ? 200 : 503;
      res.writeHead(status, {'x-turmericmill-instance-id': id}).end();
      return;
    }
    const header = (name: string) =>
      String(req.headers[`x-turmericmill-${name}`] ?? '');
    if (header('expected-instance') !== id) {
      res.writeHead(421, {'x-turmericmill-instance-id': id}).end();
      return;
    }
    const requestId = header('request-id');
    this.runs.push({
      requestId,
      path: req.url ?? '',
      callerService: header('caller-service'),
      tenant: header('tenant'),
      authorization: req.headers.authorization,
      remainingMs: Number(header('request-deadline')),
    });
    const {failEvery} = this;
    const isFailure = failEvery > 0 && this.runs.length % failEvery === 0;
    const timer = setTimeout(() => {
      res.writeHead(isFailure ? 500 : 200, {
        'x-turmericmill-request-id': requestId,
        'x-turmericmill-response-seal': `seal-${requestId}`,
      });
      const isLong = req.url?.endsWith(LONG_PATH_END);
      res.end(
        isLong ? Buffer.alloc(LONG_ANSWER_BYTES, 'a') : `${id} ${requestId}`,
      );
    }, workMs);
    res.once('close', () => {
      clearTimeout(timer);
      if (!res.writableFinished) this.cancelled += 1;
    });
  }
}
