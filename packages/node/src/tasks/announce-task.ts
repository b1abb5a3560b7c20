/** Owns the HTTP socket at which the backend servers of this host announce. */

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

/** Path of the announce protocol. */
export const ANNOUNCE_PATH = '/v1/announce';

const SWEEP_INTERVAL_MS = 100;

/** Time in ms within which a request has to be complete. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Connections held at once: a few for each server of the host. */
const MAX_CONNECTIONS = 256;

/** What a refused announcement is answered with. */
interface RefusalBody {
  code: string;
  message: string;
  findings?: Finding[];
}

/** Keeps the registry of the servers beside this node. */
export class AnnounceTask extends Task {
  port = 0;
  private readonly registry = new ServerRegistry();
  private readonly server = createServer((req, res) => {
    void this.serve(req, res);
  });
  private allDrained = false;
  private timer: NodeJS.Timeout | undefined;
  private published = '[]';

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

  /** True when no backend server is beside this node. */
  get isEmpty(): boolean {
    return this.registry.servers().length === 0;
  }

  /** From now on no server beside this node takes new calls. */
  drainAll(): void {
    this.allDrained = true;
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
      this.take(await readText(req, MAX_ANNOUNCEMENT_BYTES), res);
    } catch (err) {
      this.logger.debug({err}, 'announcement cut off');
      res.destroy();
    }
  }

  private take(text: string, res: ServerResponse): void {
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
      .map(server => (this.allDrained ? drained(server) : server));
    const text = JSON.stringify(servers);
    if (text === this.published) return;
    this.published = text;
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

function drained(server: LocalServer): LocalServer {
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
