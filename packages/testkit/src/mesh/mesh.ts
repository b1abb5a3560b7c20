/** Small mesh on loopback: platform stand-ins, nodes and backend servers. */

import {createProcessContext, runCli, type CliContext} from '@turmericmill/cli';
import type {NodePorts, Preference} from '@turmericmill/node';

import {
  BackendServer,
  type BackendServerOptions,
} from '../backend-server/backend-server.js';
import {RunLedger} from '../backend-server/run-ledger.js';
import {
  LAUNCH_TOKEN,
  NodeProcess,
  type LaunchSettings,
} from '../launch/node-process.js';
import {LogServer} from '../log-service/log-server.js';
import {MetricsService} from '../metrics-service/metrics-service.js';
import {NodeProbe} from './node-probe.js';

/** Maximum number of seeds of a started node. */
const MAX_SEEDS = 3;

/** Prefix of the names of the nodes' metrics. */
const METRICS_PREFIX = 'mesh.';

/** Options of a node. */
export interface MeshNodeOptions {
  nodeId: string;
  dataCentre: string;
  region: string;
  preference?: Preference;
}

/** Options of a backend server. */
export type MeshServerOptions = Omit<BackendServerOptions, 'announceUrl'> & {
  /** The node on the same host. */
  nodeId: string;
};

/** Exit code and output of a command. */
export interface CliRun {
  code: number;
  out: string;
  err: string;
}

/** Starts and stops the parts of a mesh, all of which listen on loopback. */
export class Mesh {
  readonly log = new LogServer();
  readonly metrics = new MetricsService();
  /** Request runs of all backend servers. */
  readonly ledger = new RunLedger();
  readonly nodes = new Map<string, NodeProcess>();
  readonly servers = new Map<string, BackendServer>();
  private readonly options = new Map<string, MeshNodeOptions>();
  private readonly ports = new Map<string, NodePorts>();
  private logUrl = '';
  private metricsPort = 0;

  /** Starts the stand-ins of the platform. */
  async start(): Promise<void> {
    this.logUrl = await this.log.start();
    this.metricsPort = await this.metrics.start();
  }

  /** Starts a node; a restarted one gets its previous ports. */
  async startNode(options: MeshNodeOptions): Promise<NodeProcess> {
    const {nodeId} = options;
    const launched = await NodeProcess.launch(this.launchSettings(options));
    this.nodes.set(nodeId, launched);
    this.options.set(nodeId, options);
    this.ports.set(nodeId, launched.ports);
    return launched;
  }

  /** Starts a node that was killed or stopped before. */
  async restartNode(nodeId: string): Promise<void> {
    const options = this.options.get(nodeId);
    if (!options) throw new Error(`Node "${nodeId}" has never been started.`);
    await this.startNode(options);
  }

  /** Shuts a node down gracefully and returns its exit code. */
  async stopNode(nodeId: string): Promise<number | null> {
    const node = this.node(nodeId);
    this.nodes.delete(nodeId);
    return node.stop();
  }

  /** Kills a node with SIGKILL. */
  async killNode(nodeId: string): Promise<void> {
    const node = this.node(nodeId);
    this.nodes.delete(nodeId);
    await node.kill();
  }

  /** Suspends the process of a node with SIGSTOP. */
  pauseNode(nodeId: string): void {
    this.node(nodeId).child.kill('SIGSTOP');
  }

  resumeNode(nodeId: string): void {
    this.node(nodeId).child.kill('SIGCONT');
  }

  async startServer(options: MeshServerOptions): Promise<BackendServer> {
    const {nodeId, ...rest} = options;
    const {announceUrl} = this.node(nodeId);
    const server = new BackendServer({...rest, announceUrl}, this.ledger);
    this.servers.set(server.name, server);
    await server.start();
    return server;
  }

  server(name: string): BackendServer {
    const server = this.servers.get(name);
    if (!server) throw new Error(`Server "${name}" has never been started.`);
    return server;
  }

  node(nodeId: string): NodeProcess {
    const node = this.nodes.get(nodeId);
    if (!node) throw new Error(`Node "${nodeId}" is not running.`);
    return node;
  }

  /** The newest value of a metric at each node. */
  metricOf(name: string): ReadonlyMap<string, number> {
    return this.metrics.valuesOf(`${METRICS_PREFIX}${name}`);
  }

  /** Base URLs for callers of all running nodes. */
  callUrls(): string[] {
    return [...this.nodes.values()].map(node => node.callsUrl);
  }

  /** Creates a probe for each running node. */
  probes(): NodeProbe[] {
    return [...this.nodes.values()].map(
      ({nodeId, adminUrl}) => new NodeProbe(nodeId, adminUrl, LAUNCH_TOKEN),
    );
  }

  /** Runs a command of the operators' CLI against this mesh. */
  async cli(team: string, ...argv: string[]): Promise<CliRun> {
    const out: string[] = [];
    const err: string[] = [];
    const context: CliContext = createProcessContext();
    context.env = {
      TURMERICMILL_LOG: this.logUrl,
      TURMERICMILL_ADMIN: this.adminUrls().join(','),
      TURMERICMILL_TOKEN: LAUNCH_TOKEN,
      TURMERICMILL_TEAM: team,
      TURMERICMILL_AUTHOR: 'mesh',
    };
    context.writer = {
      out: line => void out.push(line),
      err: line => void err.push(line),
    };
    const code = await runCli(argv, context);
    await context.close();
    return {code, out: out.join('\n'), err: err.join('\n')};
  }

  /** Stops all parts; returns the exit codes of the nodes by node ID. */
  async close(): Promise<Record<string, number | null>> {
    for (const node of this.nodes.values()) node.child.kill('SIGCONT');
    const codes = await Promise.all(
      [...this.nodes].map(
        async ([nodeId, node]) => [nodeId, await node.stop()] as const,
      ),
    );
    this.nodes.clear();
    const servers = [...this.servers.values()];
    await Promise.all(servers.map(server => server.stop()));
    await this.log.stop();
    await this.metrics.stop();
    return Object.fromEntries(codes);
  }

  private adminUrls(): string[] {
    return [...this.nodes.values()].map(node => node.adminUrl);
  }

  private launchSettings(options: MeshNodeOptions): LaunchSettings {
    const {logUrl} = this;
    const others = [...this.nodes.values()].slice(0, MAX_SEEDS);
    const seeds = others.map(node => node.meshAddress);
    const metrics = {
      address: '127.0.0.1',
      port: this.metricsPort,
      prefix: METRICS_PREFIX,
    };
    const settings = {...options, logUrl, seeds, metrics};
    const ports = this.ports.get(options.nodeId);
    if (!ports) return settings;
    const at = (port: number) => ({address: '127.0.0.1', port});
    return {
      ...settings,
      mesh: at(ports.mesh),
      calls: at(ports.calls),
      announce: at(ports.announce),
      admin: {...at(ports.admin), token: LAUNCH_TOKEN},
    };
  }
}
