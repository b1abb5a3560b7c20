/** Runs a few hosts of the platform in one process, on loopback addresses. */

import type {HostSettings} from '@turmericmill/platform-adapter';
import {LogDestination, Sidecar} from '@turmericmill/sidecar';
import bunyan from 'bunyan';

import {AppServer} from './app-server.js';
import {createSettings, PORTS} from './host-settings.js';
import {StoreServer} from './store-server.js';

/** A host with its node and its application server. */
export interface SidecarHost {
  settings: HostSettings;
  node: Sidecar;
  app: AppServer;
}

/** Options of a host to start. */
export interface HostOptions {
  dataCentre: string;
  service: string;
}

/**
 * Number of the newest mesh's loopback network. Each mesh has its own network,
 * so that tests can run concurrently.
 */
let lastNetwork = process.pid % 200;

export class SidecarMesh {
  readonly store = new StoreServer();
  readonly hosts: SidecarHost[] = [];
  private readonly network: number;
  private storePort = 0;

  /** `changes`: settings of all hosts that differ from the usual ones. */
  constructor(
    private readonly workMs = 5,
    private readonly changes: Partial<HostSettings> = {},
  ) {
    lastNetwork = (lastNetwork + 1) % 200;
    this.network = lastNetwork;
  }

  async start(hosts: readonly HostOptions[]): Promise<void> {
    this.storePort = await this.store.listen();
    for (const host of hosts) await this.addHost(host);
  }

  async stop(): Promise<void> {
    for (const {node, app} of this.hosts) {
      await node.abandon();
      await app.close();
    }
    await this.store.close();
  }

  /** Restarts a node as after a crash; its server keeps running. */
  async restartNode(host: SidecarHost): Promise<void> {
    await host.node.abandon();
    host.settings = {...host.settings, isFirstStart: false};
    host.node = createNode(host.settings);
    await host.node.start();
  }

  private async addHost({dataCentre, service}: HostOptions): Promise<void> {
    const index = this.hosts.length + 1;
    const ip = `127.${this.network + 20}.0.${index}`;
    const nodeId = `node-${index}`;
    const identity = {...this.changes, nodeId, dataCentre, service};
    const settings = createSettings(ip, this.storePort, identity);
    const app = new AppServer({
      id: `i-${index}`,
      service,
      address: ip,
      port: PORTS.server,
      control: settings.listen.reports,
      workMs: this.workMs,
      slots: 4,
    });
    await app.listen();
    const node = createNode(settings);
    await node.start();
    this.hosts.push({settings, node, app});
  }
}

function createNode(settings: HostSettings): Sidecar {
  const logger = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});
  return new Sidecar(settings, logger, new LogDestination());
}
