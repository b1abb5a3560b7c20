/** The node on one of the platform's hosts: its tasks, wired together. */

import type {CurrentServer, Endpoint} from '@turmericmill/membership';
import {
  Bus,
  CandidateIndex,
  IncomingCalls,
  MembershipTask,
  QuarantineTask,
  RemoteRunner,
  type TransportTask,
} from '@turmericmill/node';
import {HttpStore, type HostSettings} from '@turmericmill/platform-adapter';
import type {LeastExpectedCostBalancer} from '@turmericmill/routing';
import {SystemClock, SystemRandom} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {
  createConfirmation,
  type ConfigConfirmation,
} from './config/config-confirmation.js';
import {ConfigFollower} from './config/config-follower.js';
import {askHealthyServerId} from './control/health-check.js';
import {ReportServer} from './control/report-server.js';
import {createBalancer, createDispatch} from './ingress/create-dispatch.js';
import {IngressServer} from './ingress/ingress-server.js';
import {HeldMemory} from './memory/held-memory.js';
import type {LogDestination} from './observe/log-destination.js';
import {MetricsServer} from './observe/metrics-server.js';
import {createProcessMonitor} from './observe/create-process-monitor.js';
import type {ProcessMonitor} from './observe/process-monitor.js';
import {RequestLog} from './observe/request-log.js';
import {createRequestObserver} from './observe/request-observer.js';
import {ShutdownLog, type WorkLeft} from './observe/shutdown-log.js';
import {SidecarMetrics} from './observe/sidecar-metrics.js';
import {createQuotaGate} from './quota/quota-gate.js';
import {
  createRolloutTasks,
  type RolloutTasks,
} from './rollout/rollout-tasks.js';
import {ServerRunner} from './server/server-runner.js';
import {
  shutdownTimes,
  type ShutdownPhase,
  type ShutdownTimes,
} from './shutdown-phase.js';
import {runShutdown} from './shutdown-run.js';
import {StoreEra} from './store-era.js';
import {createTransport} from './create-transport.js';
import {ReadinessServer} from './tasks/readiness-server.js';
import {StoreSeeds} from './tasks/store-seeds.js';
import {TenantDirectory} from './tenants/tenant-directory.js';

/** Time in ms after which a node without peers reports itself ready. */
const JOIN_TIMEOUT_MS = 3_000;
const MS_PER_S = 1000;

export class Sidecar {
  private readonly bus = new Bus();
  private readonly clock = new SystemClock();
  private readonly random = new SystemRandom();
  /** Serves as the incarnation, as it grows with each start. */
  private readonly startedMs = this.clock.now();
  private readonly storeEra: StoreEra;
  private readonly store: HttpStore;
  private readonly transport: TransportTask;
  private readonly seeds: StoreSeeds;
  private readonly membership: MembershipTask;
  /** Undefined in deployments without roll-outs. */
  private readonly rollouts: RolloutTasks | undefined;
  private readonly confirmation: ConfigConfirmation;
  private readonly memory: HeldMemory;
  private readonly config: ConfigFollower;
  private readonly tenants: TenantDirectory;
  private readonly balancer: LeastExpectedCostBalancer;
  private readonly server: ServerRunner;
  private readonly incoming: IncomingCalls;
  private readonly ingress: IngressServer;
  private readonly reports: ReportServer;
  private readonly readiness: ReadinessServer;
  private readonly requestLog: RequestLog;
  private readonly metrics: SidecarMetrics;
  private readonly metricsServer: MetricsServer;
  private readonly processMonitor: ProcessMonitor;
  private candidates = new CandidateIndex();
  /** Number of hosts in the view of the membership, with this one. */
  private hostCount = 1;
  private isStopping = false;
  private stopped: Promise<void> | undefined;

  constructor(
    private settings: HostSettings,
    private readonly logger: Logger,
    destination: LogDestination,
  ) {
    const {bus, clock, random} = this;
    const parts = {bus, clock, random};
    const {nodeId} = settings;
    this.storeEra = new StoreEra(logger);
    this.store = new HttpStore(
      () => this.settings.store,
      era => this.storeEra.observe(era, 'store'),
    );
    this.transport = createTransport(settings, this.startedMs, {
      ...parts,
      logger,
    });
    const {transport} = this;
    this.memory = new HeldMemory({settings, bus, transport, clock, logger});
    this.seeds = this.createSeeds();
    this.membership = this.createMembership();
    this.confirmation = createConfirmation(settings.revokeMs, parts);
    this.rollouts = this.createRollouts();
    this.config = this.createConfig();
    this.tenants = new TenantDirectory(bus, () => this.confirmation.isFresh);
    const quarantine = new QuarantineTask(nodeId, bus, clock, random, logger);
    this.balancer = createBalancer(settings.dataCentre);
    this.server = new ServerRunner({
      bus,
      clock,
      logger,
      quarantine,
      answerBudget: this.memory.answers,
      returnForecast: this.memory.returnForecast,
      tenants: this.tenants,
      hasStartPace: settings.hasStartPace ?? false,
      expectedServiceMs: cls => this.balancer.expectedServiceMs(cls),
      address: () => this.settings.server,
      rollout: this.rollouts?.serverRollout,
    });
    this.rollouts?.attach(this.server);
    this.incoming = new IncomingCalls(bus, this.server, clock, this.memory);
    this.requestLog = new RequestLog(clock, logger);
    this.metrics = this.createMetrics(destination);
    const {metrics} = this;
    const monitored = {clock, logger, transport, metrics};
    this.processMonitor = createProcessMonitor(settings, monitored);
    this.metricsServer = new MetricsServer(settings.ip, this.metrics);
    this.ingress = this.createIngress();
    this.reports = this.createReports();
    this.readiness = this.createReadiness();
    bus.subscribe('view-changed', ({members}) => {
      this.candidates = new CandidateIndex(members);
      this.hostCount = 1 + members.filter(({id}) => id !== nodeId).length;
    });
  }

  async start(): Promise<void> {
    await this.transport.start();
    await this.reports.start();
    this.membership.start();
    this.config.start();
    this.rollouts?.start();
    await this.ingress.start();
    await this.readiness.start();
    await this.startMetrics();
    this.processMonitor.start();
  }

  /** Starts the metrics server; requests are served even if that fails. */
  private async startMetrics(): Promise<void> {
    try {
      await this.metricsServer.start();
    } catch (err) {
      this.logger.error(
        {err},
        'metrics server did not start; no metrics are served',
      );
    }
  }

  /** Applies settings that may change while the process runs. */
  reload(settings: HostSettings): void {
    this.settings = settings;
  }

  /** Serves until callers use other nodes, finishes all work and closes. */
  stop(): Promise<void> {
    this.stopped ??= this.shutDown();
    return this.stopped;
  }

  /** Closes all sockets at once, to simulate a crash. */
  async abandon(): Promise<void> {
    this.isStopping = true;
    this.processMonitor.stop();
    this.membership.stopWithoutLeaving();
    this.seeds.close();
    this.config.stop();
    this.rollouts?.stop();
    this.store.close();
    this.server.close();
    await this.ingress.stop();
    await this.transport.stop();
    await this.reports.stop();
    await this.readiness.stop();
    await this.metricsServer.stop();
  }

  /** True while the platform may send new requests. */
  get isReady(): boolean {
    if (this.isStopping || this.config.version === 0) return false;
    const ageMs = this.clock.now() - this.startedMs;
    return this.hostCount > 1 || ageMs > JOIN_TIMEOUT_MS;
  }

  private async shutDown(): Promise<void> {
    const {clock} = this;
    const {shutdownGraceMs} = this.settings;
    const times = shutdownTimes(clock.now(), shutdownGraceMs);
    const log = new ShutdownLog(clock, this.logger, () => this.workLeft);
    log.stopping(times.workEndMs);
    await runShutdown({
      times,
      clock,
      log,
      isBusy: () => this.ingress.requestsInFlight + this.incoming.size > 0,
      enterPhase: phase => this.enterPhase(phase, times),
    });
    // A departure that was acknowledged from now on could not be stored.
    await this.reports.stop();
    await this.ingress.stop();
    this.memory.outbox.sendAll();
    const {exitMs} = times;
    await Promise.all([this.transport.stop(exitMs), this.seeds.flush(exitMs)]);
    this.server.close();
    this.store.close();
    this.processMonitor.stop();
    log.stopped();
  }

  private get workLeft(): WorkLeft {
    const {requestsInFlight, answersUnflushed} = this.ingress;
    const {size: peerCalls} = this.incoming;
    return {requests: requestsInFlight, peerCalls, answersUnflushed};
  }

  private enterPhase(phase: ShutdownPhase, {workEndMs}: ShutdownTimes): void {
    this.logger.info({phase}, 'shutdown');
    switch (phase) {
      case 'serving':
        this.isStopping = true;
        this.ingress.drain();
        break;
      case 'finishing':
        this.server.stopAccepting();
        this.incoming.acceptUntil(workEndMs);
        void this.ingress.finish(workEndMs);
        break;
      case 'refusing':
        this.incoming.acceptUntil(-Infinity);
        this.ingress.rejectAll();
        break;
      case 'over':
        this.membership.stop();
        this.config.stop();
        this.rollouts?.stop();
        break;
    }
  }

  private get endpoint(): Endpoint {
    const {ip, meshPorts} = this.settings;
    return {address: ip, port: meshPorts[0]};
  }

  private createSeeds(): StoreSeeds {
    const {clock, random, logger, store, storeEra, endpoint: own} = this;
    const {nodeId, isFirstStart} = this.settings;
    return new StoreSeeds({
      nodeId,
      own,
      isFirstStart,
      store,
      storeEra,
      clock,
      random,
      logger,
      hostCount: () => this.hostCount,
      onNodes: nodeIds => this.bus.publish('stored-nodes', {nodeIds}),
      onDeparted: departed => this.reports.restoreDeparted(departed),
    });
  }

  private createMembership(): MembershipTask {
    const {bus, clock, random, logger, seeds: seedDirectory} = this;
    const {nodeId, dataCentre, region} = this.settings;
    const identity = {
      id: nodeId,
      incarnation: this.startedMs,
      ...this.endpoint,
      dataCentre,
      region,
    };
    const parts = {bus, clock, random, seedDirectory, logger};
    return new MembershipTask({identity, seeds: []}, parts);
  }

  private createRollouts(): RolloutTasks | undefined {
    const {store, storeEra, bus, clock, random, logger} = this;
    const {nodeId, exposure} = this.settings;
    const parts = {nodeId, store, storeEra, bus, clock, random, logger};
    const incarnation = this.startedMs;
    return createRolloutTasks(exposure, {...parts, incarnation});
  }

  private createConfig(): ConfigFollower {
    const {bus, clock, random, logger, store, storeEra, confirmation} = this;
    const {nodeId, dataCentre, configInForceMs} = this.settings;
    return new ConfigFollower({
      nodeId,
      dataCentre,
      configInForceMs,
      store,
      storeEra,
      confirmation,
      rollouts: this.rollouts?.view,
      bus,
      clock,
      random,
      logger,
    });
  }

  private createReadiness(): ReadinessServer {
    const {readiness} = this.settings.listen;
    return new ReadinessServer(readiness, () => this.isReady);
  }

  private createReports(): ReportServer {
    const {clock, logger} = this;
    return new ReportServer({
      listen: this.settings.listen.reports,
      clock,
      logger,
      isFirstStart: this.settings.isFirstStart,
      isServiceKnown: name => this.config.isServiceKnown(name),
      onServer: server => this.server.update(server),
      isHealthy: server => this.isHealthy(server),
      saveDeparted: departed => this.seeds.saveDeparted(departed),
    });
  }

  private async isHealthy({
    serverId,
    service,
  }: CurrentServer): Promise<boolean> {
    const path = this.config.healthCheckPath(service);
    if (path === undefined) return false;
    const {server} = this.settings;
    return (await askHealthyServerId(server, path)) === serverId;
  }

  private createMetrics(destination: LogDestination): SidecarMetrics {
    return new SidecarMetrics({
      configVersion: () => this.config.version,
      rollouts: () => this.rollouts?.view.all() ?? [],
      configAgeS: () => this.confirmation.ageMs / MS_PER_S,
      storeEra: () => this.storeEra.current ?? 0,
      serverInFlight: () => this.server.inFlight,
      logLinesLeftOut: () => this.requestLog.budget.leftOutTotal,
      logLinesDropped: () => destination.dropped,
      connectionsClosed: () => this.transport.closedCounts,
      peerBytesSent: () => this.transport.counts,
      residentBytes: () => process.memoryUsage.rss(),
      held: this.memory,
    });
  }

  private createIngress(): IngressServer {
    const {bus, clock, logger, metrics, random, settings} = this;
    const {listen} = settings;
    const dispatch = createDispatch(settings, {
      local: this.server,
      remote: new RemoteRunner(bus, clock),
      balancer: this.balancer,
      clock,
      random,
      answerBudget: this.memory.answers,
      tenants: this.tenants,
      candidates: name => this.candidates.ofGroup(name),
      versions: this.rollouts?.routing,
    });
    return new IngressServer({
      listen: listen.callers,
      callerService: () => this.settings.service,
      dispatch,
      tenants: this.tenants,
      quota: createQuotaGate(settings, this.startedMs, {bus, logger, metrics}),
      bodyBudget: this.memory.bodies,
      output: this.memory.callers,
      bus,
      clock,
      random,
      ...createRequestObserver(this.requestLog, this.metrics),
    });
  }
}
