/**
 * A process that runs a node's transport and membership tasks and nothing else,
 * so that their bytes and processor time can be counted apart.
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
import {DownLog} from './down-log.js';

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
  private present = new Set<string>();
  private readonly seen = new Map<string, number>();

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
    this.bus.subscribe('view-changed', () => this.note());
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
    const seedDirectory = new SeedStream(new DownLog(), clock, random, logger);
    const parts = {bus, clock, random, seedDirectory, logger};
    this.membership = new MembershipTask({identity, seeds}, parts);
    this.membership.start();
    this.setState('ready');
    reply({type: 'ready', port});
  }

  answer(req: AgentRequest): void {
    switch (req.type) {
      case 'report':
        reply(this.report());
        break;
      case 'when':
        reply({type: 'when', atMs: this.whenSeen(req.id, req.condition)});
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

  private whenSeen(id: string, condition: SeenCondition): number | null {
    return this.seen.get(`${condition}/${id}`) ?? null;
  }

  /** Notes when members go and when their servers start to drain. */
  private note(): void {
    const members = this.membership?.view.members(
      ({status}) => status === 'alive' || status === 'suspect',
    );
    const now = this.clock.now();
    const present = new Set<string>();
    for (const {id, servers} of members ?? []) {
      present.add(id);
      this.seen.delete(`gone/${id}`);
      const drains = servers.some(server => server.state === 'draining');
      const key = `drained/${id}`;
      if (!drains) this.seen.delete(key);
      else if (!this.seen.has(key)) this.seen.set(key, now);
    }
    for (const id of this.present) {
      if (!present.has(id)) this.seen.set(`gone/${id}`, now);
    }
    this.present = present;
  }

  private report(): AgentReport {
    const {user, system} = process.cpuUsage();
    const membership = this.membership as MembershipTask;
    return {
      type: 'report',
      members: this.present.size,
      bytesOut: this.transport.counts.controlBytesOut,
      messagesOut: this.transport.counts.messagesOut,
      cpuMs: (user + system) / 1000,
      residentBytes: process.memoryUsage.rss(),
      counters: membership.counters,
    };
  }
}

function reply(message: AgentReply): void {
  process.send?.(message);
}

const agent = new Agent(JSON.parse(process.argv[2] ?? '{}') as AgentOptions);
process.on('message', (req: AgentRequest) => agent.answer(req));
process.on('disconnect', () => process.exit(0));
await agent.start();
