/** Runs calls on the backend servers beside this node. */

import {Pool} from 'undici';

import type {Bus, LocalServer} from '../bus.js';
import {
  CallRunner,
  NO_LOAD,
  type CallEvents,
  type CallFailure,
  type CallHead,
  type CallLeg,
  type FirstBody,
} from './call-leg.js';
import {ServerExchange} from './server-exchange.js';

/** Time in ms after which an idle connection to a server is closed. */
const IDLE_TIMEOUT_MS = 30_000;
/** Time in ms within which a connection to a server has to be open. */
const CONNECT_TIMEOUT_MS = 1000;

interface Target {
  server: LocalServer;
  pool: Pool;
  inFlight: number;
}

const ENDED_LEG: CallLeg = {
  data: () => undefined,
  end: () => undefined,
  credit: () => undefined,
  cancel: () => undefined,
};

/** Keeps one pool of connections for each incarnation of a local server. */
export class LocalRunner extends CallRunner {
  private readonly targets = new Map<string, Target>();

  constructor(bus: Bus) {
    super();
    bus.subscribe('local-servers', ({servers}) => this.update(servers));
  }

  /** Calls that run now on one local server. */
  inFlightOf(serverId: string): number {
    return this.targets.get(serverId)?.inFlight ?? 0;
  }

  override run(head: CallHead, body: FirstBody, events: CallEvents): CallLeg {
    const target = this.targets.get(head.serverId);
    if (target?.server.incarnation !== head.serverIncarnation) {
      return refuse(events, 'no-server', 'The server is not here any more.');
    }
    if (target.server.state === 'draining') {
      return refuse(events, 'draining', 'The server is draining.');
    }
    const {server, pool} = target;
    target.inFlight += 1;
    return new ServerExchange(pool, head, body, events, {
      load: () => ({
        inFlight: target.inFlight,
        queued: 0,
        limit: server.slots,
      }),
      ended: () => {
        target.inFlight -= 1;
      },
    });
  }

  async close(): Promise<void> {
    const pools = [...this.targets.values()].map(target => target.pool);
    await Promise.all(pools.map(pool => pool.destroy()));
    this.targets.clear();
  }

  private update(servers: readonly LocalServer[]): void {
    const present = new Set(servers.map(server => server.id));
    for (const [id, target] of this.targets) {
      if (!present.has(id)) this.drop(id, target);
    }
    for (const server of servers) this.put(server);
  }

  private put(server: LocalServer): void {
    const known = this.targets.get(server.id);
    const same =
      known?.server.incarnation === server.incarnation &&
      known.server.address === server.address &&
      known.server.port === server.port;
    if (known && same) {
      known.server = server;
      return;
    }
    if (known) this.drop(server.id, known);
    const pool = new Pool(`http://${server.address}:${server.port}`, {
      connections: server.connections,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connectTimeout: CONNECT_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.targets.set(server.id, {server, pool, inFlight: 0});
  }

  /** Calls in flight end by themselves; no new ones come. */
  private drop(id: string, target: Target): void {
    this.targets.delete(id);
    void target.pool.close();
  }
}

function refuse(
  events: CallEvents,
  reason: CallFailure['reason'],
  detail: string,
): CallLeg {
  events.failed({outcome: 'not-run', reason, detail, load: {...NO_LOAD}});
  return ENDED_LEG;
}
