/** Answers the platform's question whether this node takes new work. */

import {createServer} from 'node:http';

import {Task} from '@turmericmill/node';
import {READINESS_PATH, type HostAddress} from '@turmericmill/platform-adapter';

export class ReadinessServer extends Task {
  private readonly server = createServer((req, res) => {
    if (req.url !== READINESS_PATH) {
      res.writeHead(404, {'content-length': 0}).end();
      return;
    }
    const status = this.isReady() ? 200 : 503;
    res.writeHead(status, {'content-length': 0}).end();
  });

  constructor(
    private readonly listen: HostAddress,
    private readonly isReady: () => boolean,
  ) {
    super();
  }

  override async start(): Promise<void> {
    const {address, port} = this.listen;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  override async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }
}
