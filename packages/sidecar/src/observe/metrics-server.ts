/** Serves the metrics page. */

import {createServer} from 'node:http';

import {Task} from '@turmericmill/node';

import type {SidecarMetrics} from './sidecar-metrics.js';

/** The port that the deploy file names; the usual one of such exporters. */
export const METRICS_PORT = 9464;
export const METRICS_PATH = '/metrics';

export class MetricsServer extends Task {
  private readonly server = createServer((req, res) => {
    if (req.url !== METRICS_PATH) {
      res.writeHead(404, {'content-length': 0}).end();
      return;
    }
    this.metrics.page().then(
      page => {
        res.writeHead(200, {'content-type': this.metrics.contentType});
        res.end(page);
      },
      (err: unknown) => res.writeHead(500).end(String(err)),
    );
  });

  constructor(
    private readonly address: string,
    private readonly metrics: SidecarMetrics,
    private readonly port = METRICS_PORT,
  ) {
    super();
  }

  override async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.address, resolve);
    });
  }

  override async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }
}
