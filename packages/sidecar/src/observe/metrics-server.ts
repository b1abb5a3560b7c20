/** HTTP server of the metrics page. */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {HttpTask} from '../tasks/http-task.js';
import type {SidecarMetrics} from './sidecar-metrics.js';

/** Port that the deployment file names; the usual one of such exporters. */
export const METRICS_PORT = 9464;
export const METRICS_PATH = '/metrics';

export class MetricsServer extends HttpTask {
  constructor(
    address: string,
    private readonly metrics: SidecarMetrics,
    port = METRICS_PORT,
  ) {
    super({address, port});
  }

  protected override async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.url !== METRICS_PATH) {
      res.writeHead(404, {'content-length': 0}).end();
      return;
    }
    try {
      const page = await this.metrics.page();
      res.writeHead(200, {'content-type': this.metrics.contentType}).end(page);
    } catch (err) {
      res.writeHead(500).end(String(err));
    }
  }
}
