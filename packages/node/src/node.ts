/** A node: creates its tasks, connects them, and starts and stops them. */

import {HttpLogClient} from '@turmericmill/platform';
import {LeastExpectedCostBalancer} from '@turmericmill/routing';
import {SystemClock, SystemRandom} from '@turmericmill/utils';
import {MAX_PROTOCOL_VERSION, MIN_PROTOCOL_VERSION} from '@turmericmill/wire';
import type Logger from 'bunyan';

import {AdminServer} from './admin/index.js';
import {Bus} from './bus.js';
import {CandidateIndex} from './calls/candidate-index.js';
import {ClaimedDispatcher} from './calls/claimed-dispatcher.js';
import {Dispatcher, type CallDispatcher} from './calls/dispatcher.js';
import {IncomingCalls} from './calls/incoming-calls.js';
import {LocalRunner} from './calls/local-runner.js';
import {MeteredDispatcher} from './calls/metered-dispatcher.js';
import {RemoteRunner} from './calls/remote-runner.js';
import {FleetVersions} from './fleet-versions.js';
import {LiveNodeView} from './live-node-view.js';
import type {NodeSettings} from './settings/index.js';
import {AnnounceTask} from './tasks/announce-task.js';
import {ClaimsTask} from './tasks/claims-task.js';
import {ConfigTask} from './tasks/config-task.js';
import {IngressTask} from './tasks/ingress-task.js';
import {MembershipTask} from './tasks/membership-task.js';
import {MetricsTask} from './tasks/metrics-task.js';
import {QuarantineTask} from './tasks/quarantine-task.js';
import {SeedStream} from './tasks/seed-stream.js';
import {UsageTask} from './tasks/usage-task.js';
import {TransportTask} from './transport/transport-task.js';

/** Ports in use, including those that the operating system has chosen. */
export interface NodePorts {
  mesh: number;
  calls: number;
  announce: number;
  admin: number;
}

/** A running node. */
export class Node {
  readonly bus = new Bus();
  readonly transport: TransportTask;
  readonly announce: AnnounceTask;
  readonly config: ConfigTask;
  readonly claims: ClaimsTask;
  readonly usage: UsageTask;
  readonly ingress: IngressTask;
  readonly local: LocalRunner;
  private readonly incomingCalls: IncomingCalls;
  private readonly view: LiveNodeView;
  private readonly admin: AdminServer;
  private readonly metrics: MetricsTask | undefined;
  private membership: MembershipTask | undefined;
  private readonly log: HttpLogClient;
  private readonly clock = new SystemClock();
  private readonly random = new SystemRandom();
  private readonly incarnation = this.clock.now();
  private stopped: Promise<void> | undefined;
  private candidates = new CandidateIndex();

  constructor(
    private readonly settings: NodeSettings,
    private readonly logger: Logger,
  ) {
    const {bus, clock, random} = this;
    const {nodeId, dataCentre, region} = settings;
    this.log = new HttpLogClient(settings.log);
    const hello = {
      minVersion: MIN_PROTOCOL_VERSION,
      maxVersion: MAX_PROTOCOL_VERSION,
      nodeId,
      incarnation: this.incarnation,
      dataCentre,
      region,
    };
    const mesh = {
      ...settings.mesh,
      hello,
      acceptsPerSecond: settings.limits.maxAcceptsPerSecond,
      maxConnections: settings.limits.maxNodeConnections,
    };
    this.transport = new TransportTask(mesh, bus, clock, logger);
    this.announce = new AnnounceTask(settings.announce, bus, clock, logger);
    const fleet = new FleetVersions();
    const {preference} = settings;
    const expectsPeers = settings.seeds.length > 0;
    this.config = new ConfigTask(
      {nodeId, dataCentre, region, preference, expectsPeers},
      {log: this.log, bus, fleet, clock, random, logger},
    );
    const quarantine = new QuarantineTask(nodeId, bus, clock, random, logger);
    const identity = {nodeId, incarnation: this.incarnation, region};
    this.claims = new ClaimsTask(identity, this.log, bus, clock, random);
    this.usage = new UsageTask(identity, {log: this.log, bus, clock, random});
    this.local = new LocalRunner(bus, clock, quarantine);
    this.incomingCalls = new IncomingCalls(bus, this.local, clock);
    this.ingress = new IngressTask(
      settings.calls,
      settings.limits,
      this.createDispatcher(),
      fingerprint => quarantine.statusOf(fingerprint),
      bus,
      clock,
      logger,
    );
    this.view = new LiveNodeView({
      nodeId,
      bus,
      clock,
      statistics: this.ingress.statistics,
      fleet,
      inFlight: serverId => this.local.inFlightOf(serverId),
    });
    this.metrics = this.createMetrics();
    this.admin = new AdminServer(settings.admin, this.view, entry => {
      logger.info(entry, 'administration request');
    });
  }

  /** Starts all tasks. Callers are served once all other tasks have started. */
  async start(): Promise<NodePorts> {
    await this.transport.start();
    await this.announce.start();
    this.membership = this.createMembership();
    this.membership.start();
    this.config.start();
    this.metrics?.start();
    this.claims.start();
    this.usage.start();
    await this.ingress.start();
    const admin = await this.admin.start();
    return {
      mesh: this.transport.port,
      calls: this.ingress.port,
      announce: this.announce.port,
      admin: admin.port,
    };
  }

  /**
   * Shuts down: the servers drain, the other nodes are notified, the calls in
   * flight end, and then the sockets close. Only calls that exceed the grace
   * period are interrupted.
   */
  stop(): Promise<void> {
    this.stopped ??= this.shutDown();
    return this.stopped;
  }

  private async shutDown(): Promise<void> {
    this.view.setStopping();
    this.announce.drainAll();
    const {shutdownGraceMs, drainSpreadMs} = this.settings.limits;
    const deadlineMs = this.clock.now() + shutdownGraceMs;
    const spreadMs = this.announce.isEmpty ? 0 : drainSpreadMs;
    const drainSpread = new Promise(resolve => setTimeout(resolve, spreadMs));
    await Promise.all([this.ingress.drain(deadlineMs), drainSpread]);
    await this.incomingCalls.whenIdle(deadlineMs);
    await this.stopTasks();
  }

  private async stopTasks(): Promise<void> {
    await this.ingress.stop();
    await this.metrics?.stop();
    await this.claims.stop();
    this.usage.stop();
    this.config.stop();
    this.membership?.stop();
    await this.announce.stop();
    await this.transport.stop();
    await this.admin.close();
    await this.local.close();
    await this.log.close();
  }

  private createDispatcher(): CallDispatcher {
    const {bus, clock, random} = this;
    bus.subscribe('view-changed', ({members}) => {
      this.candidates = new CandidateIndex(members);
    });
    const dispatcher = new Dispatcher({
      nodeId: this.settings.nodeId,
      local: this.local,
      remote: new RemoteRunner(bus, clock),
      balancer: new LeastExpectedCostBalancer(this.settings.dataCentre),
      clock,
      random,
      candidates: group => this.candidates.ofGroup(group),
    });
    const metered = new MeteredDispatcher(this.usage, dispatcher);
    return new ClaimedDispatcher(this.claims, metered);
  }

  private createMetrics(): MetricsTask | undefined {
    const {metrics, nodeId, dataCentre} = this.settings;
    if (!metrics) return undefined;
    return new MetricsTask(metrics, nodeId, dataCentre, {
      statistics: this.ingress.statistics,
      traffic: this.transport.counts,
      version: () => this.config.version.version,
      callsInFlight: () => this.ingress.callsInFlight,
    });
  }

  private createMembership(): MembershipTask {
    const {nodeId, dataCentre, region, mesh, seeds} = this.settings;
    const identity = {
      id: nodeId,
      incarnation: this.incarnation,
      address: mesh.address,
      port: this.transport.port,
      dataCentre,
      region,
    };
    const {bus, clock, random, log, logger} = this;
    const seedDirectory = new SeedStream(log, clock, random, logger);
    const parts = {bus, clock, random, seedDirectory, logger};
    return new MembershipTask({identity, seeds}, parts);
  }
}
