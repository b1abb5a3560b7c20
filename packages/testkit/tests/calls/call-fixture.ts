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

function routeOf(name: string, cls: string, repetition: string) {
  const match = {pathPrefix: `/${name}`};
  return {name, match, service: 'api', class: cls, repetition};
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

/** A backend server with a handler of the test's own. */
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

  /** Cuts all connections, as a crash does; a new incarnation goes on. */
  async crash(): Promise<void> {
    this.server.closeAllConnections();
    this.incarnation += 1;
    await this.announce('ready');
  }

  async announce(state: 'ready' | 'draining'): Promise<void> {
    const {port} = this.server.address() as AddressInfo;
    const {name, slots, incarnation} = this;
    const address = '127.0.0.1';
    const own = {name, slots, incarnation, state, address, port};
    const res = await request(
      `http://127.0.0.1:${this.announcePort}/v1/announce`,
      {
        method: 'POST',
        body: JSON.stringify({...own, group: GROUP, connections: 130}),
      },
    );
    await res.body.dump();
  }

  /** Listens no more; what was announced stays announced. */
  unplug(): void {
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

/** Two nodes; `remote` has no server, `local` has those of the test. */
export class CallFixture {
  private readonly log = new LogServer();
  private readonly servers: HandlerServer[] = [];
  private timer: NodeJS.Timeout | undefined;
  private nodes: InProcessNode[] = [];

  /** Base URL of the node with the servers, and of the one without. */
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
        const all = members.flatMap(member => member.servers);
        return all.length === handlers.length;
      }),
    ];
    for (const [index, handler] of handlers.entries()) {
      const {announce} = local.ports;
      const name = `server-${index}`;
      const server = new HandlerServer(name, slots, announce, handler);
      this.servers.push(server);
      await server.start();
    }
    this.timer = setInterval(() => this.announceAll(), 1_000);
    await publishFiles(logUrl, 'nyota', [{file: 'a.json', text: FILE_SET}]);
    await Promise.all(ready);
    return this.servers;
  }

  /** Resolves when `holds` has become true at both nodes. */
  async when<K extends keyof Topics>(
    topic: K,
    holds: (message: Topics[K]) => boolean,
  ): Promise<void> {
    await whenAll(this.nodes, topic, holds);
  }

  /** Resolves when the node with the servers tells another such news. */
  told(news: MessageName): Promise<void> {
    return new Promise(resolve => {
      this.nodes[0]!.node.bus.subscribe('send-peer', ({message}) => {
        if (message.type === news) resolve();
      });
    });
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
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
