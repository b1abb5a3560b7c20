/** A few nodes of the platform in one process, on loopback addresses. */

import type {HostSettings} from '@turmericmill/platform-adapter';
import {LogDestination, Sidecar} from '@turmericmill/sidecar';
import bunyan from 'bunyan';

import {AppServer} from './app-server.js';
import {StoreServer} from './store-server.js';

const PORTS = {
  callers: 8141,
  readiness: 8140,
  reports: 8146,
  app: 8147,
  mesh: 7660,
};

/** One host: its node and its application server. */
export interface SidecarHost {
  settings: HostSettings;
  node: Sidecar;
  app: AppServer;
}

/** What a host is made of. */
export interface HostPlan {
  dataCentre: string;
  service: string;
}

/** Each mesh has loopback addresses of its own, so that tests can overlap. */
let nextNetwork = process.pid % 200;

export class SidecarMesh {
  readonly store = new StoreServer();
  readonly hosts: SidecarHost[] = [];
  private readonly network: number;
  private storePort = 0;

  constructor(private readonly workMs = 5) {
    nextNetwork = (nextNetwork + 1) % 200;
    this.network = nextNetwork;
  }

  async start(plans: readonly HostPlan[]): Promise<void> {
    this.storePort = await this.store.listen();
    for (const plan of plans) await this.addHost(plan);
  }

  async stop(): Promise<void> {
    for (const {node, app} of this.hosts) {
      await node.abandon();
      await app.close();
    }
    await this.store.close();
  }

  /** Starts a node anew, as after a crash; its server lives on. */
  async restartNode(host: SidecarHost): Promise<void> {
    await host.node.abandon();
    host.node = makeNode(host.settings);
    await host.node.start();
  }

  private async addHost({dataCentre, service}: HostPlan): Promise<void> {
    const index = this.hosts.length + 1;
    const ip = `127.${this.network + 20}.0.${index}`;
    const settings = this.settingsOf(ip, `node-${index}`, dataCentre, service);
    const app = new AppServer({
      id: `i-${index}`,
      service,
      address: ip,
      port: PORTS.app,
      control: settings.listen.reports,
      workMs: this.workMs,
      slots: 4,
    });
    await app.listen();
    const node = makeNode(settings);
    await node.start();
    this.hosts.push({settings, node, app});
  }

  private settingsOf(
    ip: string,
    nodeId: string,
    dataCentre: string,
    service: string,
  ): HostSettings {
    const at = (port: number) => ({address: ip, port});
    return {
      nodeId,
      ip,
      dataCentre,
      region: 'r',
      cpuShare: 1,
      memoryMb: 350,
      linkMbps: 1000,
      server: at(PORTS.app),
      service,
      listen: {
        callers: at(PORTS.callers),
        readiness: at(PORTS.readiness),
        reports: at(PORTS.reports),
      },
      meshPorts: [PORTS.mesh, PORTS.mesh],
      store: {address: '127.0.0.1', port: this.storePort},
      heartbeatIntervalMs: 1500,
      shutdownGraceMs: 6000,
      drainMs: 2000,
      retries: {share: 0.2, extra: 62, windowMs: 10_000},
    };
  }
}

function makeNode(settings: HostSettings): Sidecar {
  const logger = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});
  return new Sidecar(settings, logger, new LogDestination());
}
