/**
 * Entry point of a membership agent: a process that runs only the transport and
 * membership tasks of a node, so that their traffic and CPU time are measured
 * separately from the rest of the node.
 */

import {
  Bus,
  MembershipTask,
  SeedStream,
  TransportTask,
} from '@turmericmill/node';
import {SystemClock, SystemRandom} from '@turmericmill/utils';
import {
  MAX_PROTOCOL_VERSION,
  MIN_PROTOCOL_VERSION,
  type ServerState,
} from '@turmericmill/wire';
import bunyan from 'bunyan';

import type {
  AgentOptions,
  AgentReply,
  AgentReport,
  AgentRequest,
  SeenCondition,
} from './agent-protocol.js';
import {UnavailableLog} from './unavailable-log.js';

const ADDRESS = '127.0.0.1';
const REGION = 'region-1';

class Agent {
  private readonly bus = new Bus();
  private readonly clock = new SystemClock();
  private readonly logger = bunyan.createLogger({
    name: 'agent',
    level: 'fatal',
  });
  private readonly incarnation = this.clock.now();
  private readonly transport: TransportTask;
  private membership: MembershipTask | undefined;
  private presentIds = new Set<string>();
  /** Observation times in ms since the epoch, keyed by `condition/id`. */
  private readonly observedAtMs = new Map<string, number>();

  constructor(private readonly options: AgentOptions) {
    const hello = {
      minVersion: MIN_PROTOCOL_VERSION,
      maxVersion: MAX_PROTOCOL_VERSION,
      nodeId: options.id,
      incarnation: this.incarnation,
      dataCentre: options.dataCentre,
      region: REGION,
    };
    this.transport = new TransportTask(
      {address: ADDRESS, port: 0, hello},
      this.bus,
      this.clock,
      this.logger,
    );
    this.bus.subscribe('view-changed', () => this.recordObservations());
  }

  async start(): Promise<void> {
    await this.transport.start();
    const {id, dataCentre, seeds} = this.options;
    const {port} = this.transport;
    const {bus, clock, logger, incarnation} = this;
    const identity = {
      id,
      incarnation,
      address: ADDRESS,
      port,
      dataCentre,
      region: REGION,
    };
    const random = new SystemRandom();
    const seedDirectory = new SeedStream(
      new UnavailableLog(),
      clock,
      random,
      logger,
    );
    const parts = {bus, clock, random, seedDirectory, logger};
    this.membership = new MembershipTask({identity, seeds}, parts);
    this.membership.start();
    this.setState('ready');
    sendReply({type: 'ready', port});
  }

  handleRequest(req: AgentRequest): void {
    switch (req.type) {
      case 'report':
        sendReply(this.report());
        break;
      case 'when':
        sendReply({
          type: 'when',
          atMs: this.findObservationMs(req.id, req.condition),
        });
        break;
      case 'set-state':
        this.setState(req.state);
        break;
    }
  }

  private setState(state: ServerState): void {
    const {id} = this.options;
    const server = {
      id: `${id}-server`,
      group: 'bench/api',
      incarnation: this.incarnation,
      state,
      slots: 12,
      connections: 130,
      readySinceMs: this.incarnation,
      address: ADDRESS,
      port: 1,
    };
    this.bus.publish('local-servers', {servers: [server]});
  }

  private findObservationMs(
    id: string,
    condition: SeenCondition,
  ): number | null {
    return this.observedAtMs.get(`${condition}/${id}`) ?? null;
  }

  /** Records when members disappear and when their servers start to drain. */
  private recordObservations(): void {
    const members = this.membership?.view.members(
      ({status}) => status === 'alive' || status === 'suspect',
    );
    const nowMs = this.clock.now();
    const presentIds = new Set<string>();
    for (const {id, servers} of members ?? []) {
      presentIds.add(id);
      this.observedAtMs.delete(`gone/${id}`);
      const isDraining = servers.some(server => server.state === 'draining');
      const key = `drained/${id}`;
      if (!isDraining) this.observedAtMs.delete(key);
      else if (!this.observedAtMs.has(key)) this.observedAtMs.set(key, nowMs);
    }
    for (const id of this.presentIds) {
      if (!presentIds.has(id)) this.observedAtMs.set(`gone/${id}`, nowMs);
    }
    this.presentIds = presentIds;
  }

  private report(): AgentReport {
    const {user, system} = process.cpuUsage();
    const membership = this.membership as MembershipTask;
    return {
      type: 'report',
      members: this.presentIds.size,
      bytesOut: this.transport.counts.controlBytesOut,
      messagesOut: this.transport.counts.messagesOut,
      cpuMs: (user + system) / 1000,
      residentBytes: process.memoryUsage.rss(),
      counters: membership.counters,
    };
  }
}

function sendReply(message: AgentReply): void {
  process.send?.(message);
}

const agent = new Agent(JSON.parse(process.argv[2] ?? '{}') as AgentOptions);
process.on('message', (req: AgentRequest) => agent.handleRequest(req));
process.on('disconnect', () => process.exit(0));
await agent.start();
