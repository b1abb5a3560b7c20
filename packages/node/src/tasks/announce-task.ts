/** Owns the HTTP socket at which the backend servers of this host announce. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import type {Bus, LocalServer} from '../bus.js';
import type {ListenAddress} from '../settings/index.js';
import {Task} from '../task.js';

/** Time in ms after which an announcement lapses. */
const ANNOUNCEMENT_LIFETIME_MS = 2500;
const SWEEP_INTERVAL_MS = 250;

interface Entry {
  server: LocalServer;
  /** Time in ms since the epoch at which the announcement lapses. */
  lapsesAtMs: number;
}

/** Keeps the list of servers beside this node. */
export class AnnounceTask extends Task {
  port = 0;
  private readonly entries = new Map<string, Entry>();
  private readonly drained = new Set<string>();
  private readonly server = createServer((req, res) => {
    void this.take(req, res);
  });
  private allDrained = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly listen: ListenAddress,
    private readonly bus: Bus,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
    bus.subscribe('drain', ({serverId, draining}) => {
      if (draining) this.drained.add(serverId);
      else this.drained.delete(serverId);
      this.publish();
    });
  }

  override async start(): Promise<void> {
    const {address, port} = this.listen;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
    this.timer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
  }

  override async stop(): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** True when no backend server is beside this node. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** From now on no server beside this node takes new calls. */
  drainAll(): void {
    this.allDrained = true;
    this.publish();
  }

  private async take(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    try {
      const text = Buffer.concat(chunks).toString();
      const announced = JSON.parse(text) as LocalServer & {name: string};
      const {name, ...rest} = announced;
      this.put({...rest, id: name});
      res.writeHead(204).end();
    } catch (err) {
      this.logger.warn({err}, 'malformed announcement');
      res.writeHead(400).end();
    }
  }

  private put(server: LocalServer): void {
    const known = this.entries.get(server.id);
    const now = this.clock.now();
    const sameRun =
      known?.server.incarnation === server.incarnation &&
      known.server.state === server.state;
    const readySinceMs = sameRun ? known.server.readySinceMs : now;
    const lapsesAtMs = now + ANNOUNCEMENT_LIFETIME_MS;
    this.entries.set(server.id, {
      server: {...server, readySinceMs},
      lapsesAtMs,
    });
    if (!sameRun) this.publish();
  }

  private sweep(): void {
    const now = this.clock.now();
    let changed = false;
    for (const [id, {lapsesAtMs}] of this.entries) {
      if (lapsesAtMs > now) continue;
      this.entries.delete(id);
      this.logger.info({serverId: id}, 'announcement lapsed');
      changed = true;
    }
    if (changed) this.publish();
  }

  private publish(): void {
    const servers = [...this.entries.values()].map(({server}) =>
      this.allDrained || this.drained.has(server.id)
        ? {...server, state: 'draining' as const}
        : server,
    );
    this.bus.publish('local-servers', {servers});
  }
}
