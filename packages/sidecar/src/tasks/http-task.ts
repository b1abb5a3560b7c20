/** A task that runs an HTTP server. */

import type {IncomingMessage, ServerOptions, ServerResponse} from 'node:http';

import type {AddressInfo} from 'node:net';

import {CallerServer, Task} from '@turmericmill/node';
import type {HostAddress} from '@turmericmill/platform-adapter';

/** Interval in ms between checks for requests that arrive too slowly. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

export abstract class HttpTask extends Task {
  protected readonly server: CallerServer;

  constructor(
    private readonly listen: HostAddress,
    options: ServerOptions = {},
  ) {
    super();
    const connectionsCheckingInterval = CONNECTION_CHECK_INTERVAL_MS;
    this.server = new CallerServer(
      {connectionsCheckingInterval, ...options},
      (req, res) => void this.serve(req, res),
    );
  }

  /** The port in use, once the task has started. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  override async start(): Promise<void> {
    const {address, port} = this.listen;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  /** Stops the server and closes all connections immediately. */
  override async stop(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  /** Handles one request; must not reject. */
  protected abstract serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> | void;
}
