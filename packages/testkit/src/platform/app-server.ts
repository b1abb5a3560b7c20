/** Stand-in of an application server on one of the platform's hosts. */

import {
  createServer,
  request,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';

/** One request that the server began to run. */
export interface AppRun {
  requestId: string;
  path: string;
  callerService: string;
  remainingMs: number;
}

export interface AppServerOptions {
  id: string;
  service: string;
  address: string;
  port: number;
  /** Where it reports. */
  control: {address: string; port: number};
  /** Time in ms that each request takes. */
  workMs: number;
  slots: number;
}

/** Runs requests that expect it, and says so when it does not. */
export class AppServer {
  readonly runs: AppRun[] = [];
  /** Requests whose connection closed while they ran. */
  cancelled = 0;
  /** Time in ms that each request takes from now on. */
  workMs: number;
  private sequence = 0;
  private readonly bornMs = Date.now();
  private readonly server = createServer((req, res) => this.serve(req, res));

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

  /** Resolves with the status of the acknowledgement. */
  report(state: 'ready' | 'draining'): Promise<number> {
    const {id, service, address, port, slots} = this.options;
    this.sequence += 1;
    return this.post(`/api/instances/${id}/heartbeat`, {
      service,
      address: `${address}:${port}`,
      zone: '',
      version: 'v1',
      slots,
      state,
      warmup_left: '0ms',
      sequence: this.sequence,
      born: this.bornMs,
    });
  }

  /** Says that it leaves. */
  leave(): Promise<number> {
    const {id} = this.options;
    return this.post(`/api/instances/${id}/deregister`, {born: this.bornMs});
  }

  private post(path: string, body: object): Promise<number> {
    const {control} = this.options;
    return new Promise((resolve, reject) => {
      const req = request(
        {host: control.address, port: control.port, method: 'POST', path},
        res => {
          res.resume();
          res.once('end', () => resolve(res.statusCode ?? 0));
        },
      );
      req.once('error', reject);
      req.end(JSON.stringify(body));
    });
  }

  private serve(req: IncomingMessage, res: ServerResponse): void {
    const {id} = this.options;
    const {workMs} = this;
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
      remainingMs: Number(header('request-deadline')),
    });
    const timer = setTimeout(() => {
      res.writeHead(200, {
        'x-turmericmill-request-id': requestId,
        'x-turmericmill-response-seal': `seal-${requestId}`,
      });
      res.end(`${id} ${requestId}`);
    }, workMs);
    res.once('close', () => {
      clearTimeout(timer);
      if (!res.writableFinished) this.cancelled += 1;
    });
  }
}
