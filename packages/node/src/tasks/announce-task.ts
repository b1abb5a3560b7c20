/** HTTP server that receives announcements of this host's backend servers. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import {
  MAX_ANNOUNCEMENT_BYTES,
  parseAnnouncement,
  ServerRegistry,
  type LocalServer as RegisteredServer,
} from '@turmericmill/membership';
import type {Clock, Finding} from '@turmericmill/utils';
import type {ServerState} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {Bus, LocalServer} from '../bus.js';
import {readText} from '../read-text.js';
import type {ListenAddress} from '../settings/index.js';
import {Task} from '../task.js';

/** Path to which announcements are posted. */
export const ANNOUNCE_PATH = '/v1/announce';

/** Interval in ms at which lapsed announcements are handled. */
const SWEEP_INTERVAL_MS = 100;

/** Maximum time in ms to receive a request. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Maximum number of open connections: a few for each server of the host. */
const MAX_CONNECTIONS = 256;

/** Body of the answer to a refused announcement. */
interface RefusalBody {
  code: string;
  message: string;
  findings?: Finding[];
}

/** Keeps the registry of this host's backend servers and publishes changes. */
export class AnnounceTask extends Task {
  port = 0;
  private readonly registry = new ServerRegistry();
  private readonly server = createServer((req, res) => {
    void this.serve(req, res);
  });
  private isDrainingAll = false;
  private timer: NodeJS.Timeout | undefined;
  /** The list of servers published last, as JSON. */
  private publishedJson = '[]';

  constructor(
    private readonly listen: ListenAddress,
    private readonly bus: Bus,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
    this.server.headersTimeout = REQUEST_TIMEOUT_MS;
    this.server.maxConnections = MAX_CONNECTIONS;
    bus.subscribe('drain', ({serverId, draining}) => {
      const now = this.clock.now();
      if (draining) this.registry.drain(serverId, now);
      else this.registry.undrain(serverId, now);
      this.publishChange();
    });
  }

  override async start(): Promise<void> {
    const {address, port} = this.listen;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
    this.timer = setInterval(() => {
      this.registry.tick(this.clock.now());
      this.publishChange();
    }, SWEEP_INTERVAL_MS);
  }

  override async stop(): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** True if no backend server of this host is registered. */
  get isEmpty(): boolean {
    return this.registry.servers().length === 0;
  }

  /** Marks all servers of this host as draining, including later ones. */
  drainAll(): void {
    this.isDrainingAll = true;
    this.publishChange();
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.url !== ANNOUNCE_PATH) {
      refuse(res, 404, {code: 'not-found', message: `Use ${ANNOUNCE_PATH}.`});
      return;
    }
    if (req.method !== 'POST') {
      refuse(res, 405, {code: 'method-not-allowed', message: 'Use POST.'});
      return;
    }
    try {
      this.handleAnnouncement(await readText(req, MAX_ANNOUNCEMENT_BYTES), res);
    } catch (err) {
      this.logger.debug(
        {err},
        'connection closed before the announcement was complete',
      );
      res.destroy();
    }
  }

  private handleAnnouncement(text: string, res: ServerResponse): void {
    const parsed = parseAnnouncement(text);
    if (parsed.isErr()) {
      const findings = parsed.error;
      this.logger.warn({findings}, 'malformed announcement');
      const message = 'The announcement is malformed.';
      refuse(res, 400, {code: 'malformed', message, findings});
      return;
    }
    const result = this.registry.announce(parsed.value, this.clock.now());
    if (result.isErr()) {
      this.logger.warn({err: result.error}, 'announcement refused');
      refuse(res, 409, result.error);
      return;
    }
    this.publishChange();
    sendJson(res, 200, result.value);
  }

  private publishChange(): void {
    for (const {type, name, incarnation} of this.registry.takeEvents()) {
      this.logger.info({serverId: name, incarnation}, `server ${type}`);
    }
    const servers = this.registry
      .servers()
      .map(toLocalServer)
      .map(server => (this.isDrainingAll ? asDraining(server) : server));
    const text = JSON.stringify(servers);
    if (text === this.publishedJson) return;
    this.publishedJson = text;
    this.bus.publish('local-servers', {servers});
  }
}

function refuse(res: ServerResponse, status: number, body: RefusalBody): void {
  sendJson(res, status, body);
}

function sendJson(res: ServerResponse, status: number, body: object): void {
  const headers = {'content-type': 'application/json'};
  res.writeHead(status, headers).end(JSON.stringify(body));
}

function asDraining(server: LocalServer): LocalServer {
  return {...server, state: 'draining'};
}

function toLocalServer({
  announcement,
  state,
  readySinceMs,
}: RegisteredServer): LocalServer {
  const {name, group, incarnation, slots, connections, address, port} =
    announcement;
  return {
    id: name,
    group,
    incarnation,
    state: state as ServerState,
    slots,
    connections,
    readySinceMs,
    address,
    port,
  };
}
