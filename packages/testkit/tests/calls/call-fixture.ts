import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {NodeSettings, Topics} from '@turmericmill/node';
import type {MessageName} from '@turmericmill/wire';
import {request} from 'undici';

import {publishFiles} from '../../src/bench/publish-files.js';
import {
  LogServer,
  startInProcessNode,
  whenAll,
  type InProcessNode,
} from '../../src/index.js';

export const TIMEOUT_MS = 1_500;
const GROUP = 'nyota/api';

function routeOf(name: string, className: string, repetition: string) {
  const match = {pathPrefix: `/${name}`};
  return {name, match, service: 'api', class: className, repetition};
}

const FILE_SET = JSON.stringify({
  classes: [
    {name: 'control', priority: 'interactive'},
    {name: 'files', priority: 'bulk'},
  ],
  backendServerGroups: [{name: 'api', maxSlots: 12, maxConnections: 130}],
  services: [
    {
      name: 'api',
      backendServerGroup: 'api',
      timeoutMs: TIMEOUT_MS,
      retryBudgetPercent: 100,
    },
  ],
  routes: [
    routeOf('once', 'control', 'at-most-once'),
    routeOf('again', 'control', 'repeatable'),
    routeOf('files', 'files', 'repeatable'),
  ],
});

/** A backend server whose request handler is provided by the test. */
export class HandlerServer {
  private readonly server: Server;
  private incarnation = 1;

  constructor(
    private readonly name: string,
    private readonly slots: number,
    private readonly announcePort: number,
    handler: RequestListener,
  ) {
    this.server = createServer(handler);
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    await this.announce('ready');
  }

  /**
   * Simulates a crash and restart: closes all connections and announces the
   * next incarnation.
   */
  async crash(): Promise<void> {
    this.server.closeAllConnections();
    this.incarnation += 1;
    await this.announce('ready');
  }

  async announce(state: 'ready' | 'draining'): Promise<void> {
    const {port} = this.server.address() as AddressInfo;
    const {name, slots, incarnation} = this;
    const address = '127.0.0.1';
    const fields = {name, slots, incarnation, state, address, port};
    const res = await request(
      `http://127.0.0.1:${this.announcePort}/v1/announce`,
      {
        method: 'POST',
        body: JSON.stringify({...fields, group: GROUP, connections: 130}),
      },
    );
    await res.body.dump();
  }

  /** Stops listening without withdrawing the announcement. */
  stopListening(): void {
    this.server.close();
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }
}

function startNode(
  logUrl: string,
  nodeId: string,
  seeds: string[],
  limits: Partial<NodeSettings['limits']>,
): Promise<InProcessNode> {
  const place = {dataCentre: 'nairobi-a', region: 'nairobi'};
  return startInProcessNode({nodeId, ...place, logUrl, seeds, limits});
}

/** Two nodes; all backend servers belong to `local`, none to `remote`. */
export class CallFixture {
  private readonly log = new LogServer();
  private readonly servers: HandlerServer[] = [];
  private announceTimer: NodeJS.Timeout | undefined;
  private nodes: InProcessNode[] = [];

  /** Base URLs at which the nodes accept calls. */
  urls: Record<'local' | 'remote', string> = {local: '', remote: ''};

  async start(
    handlers: readonly RequestListener[],
    slots: number,
    limits: Partial<NodeSettings['limits']> = {},
  ): Promise<HandlerServer[]> {
    const logUrl = await this.log.start();
    const local = await startNode(logUrl, 'local', [], limits);
    const seeds = [`127.0.0.1:${local.ports.mesh}`];
    const remote = await startNode(logUrl, 'remote', seeds, limits);
    this.nodes = [local, remote];
    this.urls = {
      local: `http://127.0.0.1:${local.ports.calls}`,
      remote: `http://127.0.0.1:${remote.ports.calls}`,
    };
    const ready = [
      this.when('config-in-force', () => true),
      this.when('view-changed', ({members}) => {
        const servers = members.flatMap(member => member.servers);
        return servers.length === handlers.length;
      }),
    ];
    for (const [index, handler] of handlers.entries()) {
      const {announce} = local.ports;
      const name = `server-${index}`;
      const server = new HandlerServer(name, slots, announce, handler);
      this.servers.push(server);
      await server.start();
    }
    this.announceTimer = setInterval(() => this.announceAll(), 1_000);
    await publishFiles(logUrl, 'nyota', [{file: 'a.json', text: FILE_SET}]);
    await Promise.all(ready);
    return this.servers;
  }

  /** Resolves when both nodes have published a matching message. */
  async when<K extends keyof Topics>(
    topic: K,
    isMatching: (message: Topics[K]) => boolean,
  ): Promise<void> {
    await whenAll(this.nodes, topic, isMatching);
  }

  /** Resolves when the local node next sends a peer message of this type. */
  whenSent(type: MessageName): Promise<void> {
    return new Promise(resolve => {
      this.nodes[0]!.node.bus.subscribe('send-peer', ({message}) => {
        if (message.type === type) resolve();
      });
    });
  }

  async stop(): Promise<void> {
    clearInterval(this.announceTimer);
    for (const server of this.servers) await server.stop();
    for (const {node} of this.nodes) await node.stop();
    await this.log.stop();
  }

  private announceAll(): void {
    for (const server of this.servers) {
      server.announce('ready').catch(() => undefined);
    }
  }
}
