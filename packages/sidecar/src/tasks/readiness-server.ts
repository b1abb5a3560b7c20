/** Answers the platform's readiness probes. */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {READINESS_PATH, type HostAddress} from '@turmericmill/platform-adapter';

import {HttpTask} from './http-task.js';

export class ReadinessServer extends HttpTask {
  constructor(
    listen: HostAddress,
    private readonly isReady: () => boolean,
  ) {
    super(listen);
  }

  protected override serve(req: IncomingMessage, res: ServerResponse): void {
    if (req.url !== READINESS_PATH) {
      res.writeHead(404, {'content-length': 0}).end();
      return;
    }
    const status = this.isReady() ? 200 : 503;
    res.writeHead(status, {'content-length': 0}).end();
  }
}
