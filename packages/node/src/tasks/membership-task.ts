/** Runs the membership decision: its timer, its messages, its seeds. */

import {
  Membership,
  TICK_INTERVAL_MS,
  type Endpoint,
  type MembershipCounters,
  type MembershipEffect,
  type MembershipInput,
  type MembershipMessage,
  type MembershipView,
  type NodeIdentity,
} from '@turmericmill/membership';
import type {Clock, RandomSource} from '@turmericmill/utils';
import type {Message, ServerRecord} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {Bus, LocalServer} from '../bus.js';
import {Task} from '../task.js';
import type {SeedDirectory} from './seed-directory.js';
import {parseEndpoint} from './seed-stream.js';

/** Least time in ms between two publications of the view. */
const VIEW_INTERVAL_MS = 50;

/** Who this node is, and where it finds the first others. */
export interface MembershipOptions {
  identity: NodeIdentity;
  /** Mesh addresses as `ip:port`. */
  seeds: string[];
}

/** What the task is given. */
export interface MembershipParts {
  bus: Bus;
  clock: Clock;
  random: RandomSource;
  /** Where nodes find each other before they have met. */
  seedDirectory: SeedDirectory;
  logger: Logger;
  /** A later process runs under this node's id: this one has to stop. */
  onReplaced?: () => void;
}

const DATAGRAM_TYPES: ReadonlySet<string> = new Set([
  'probe',
  'probeRequest',
  'probeAck',
  'memberGossip',
  'memberDigest',
]);

export class MembershipTask extends Task {
  private readonly membership: Membership;
  private readonly ownSeeds: Endpoint[];
  private tickTimer: NodeJS.Timeout | undefined;
  private viewTimer: NodeJS.Timeout | undefined;
  private viewPending = false;

  constructor(
    options: MembershipOptions,
    private readonly parts: MembershipParts,
  ) {
    super();
    const {bus, clock, random} = parts;
    this.membership = new Membership(options.identity, clock.now(), random);
    this.ownSeeds = options.seeds.flatMap(text => parseEndpoint(text) ?? []);
    bus.subscribe('local-servers', ({servers}) => this.setServers(servers));
    bus.subscribe('datagram', ({address, port, message}) => {
      if (!isDatagram(message)) return;
      this.handle({type: 'message', from: {address, port}, message});
    });
    bus.onPeerMessage('memberSync', ({type, body}) => {
      const from = {address: '', port: 0};
      this.handle({type: 'message', from, message: {type, body}});
    });
  }

  /** Counts since the start. */
  get counters(): Readonly<MembershipCounters> {
    return this.membership.counters;
  }

  /** What this node knows of the others. */
  get view(): MembershipView {
    return this.membership.view;
  }

  override start(): void {
    this.setSeeds([]);
    this.publishView();
    this.parts.seedDirectory.start(endpoints => this.setSeeds(endpoints));
    this.tickTimer = setInterval(
      () => this.handle({type: 'tick'}),
      TICK_INTERVAL_MS,
    );
  }

  override stop(): void {
    this.stopWithoutLeaving();
    this.viewTimer = undefined;
    this.handle({type: 'leave'});
    clearTimeout(this.viewTimer);
  }

  /** Falls silent without a word to the others, as a crash would. */
  stopWithoutLeaving(): void {
    clearInterval(this.tickTimer);
    clearTimeout(this.viewTimer);
    this.parts.seedDirectory.stop();
  }

  private setSeeds(endpoints: readonly Endpoint[]): void {
    this.handle({
      type: 'seeds',
      endpoints: [...this.ownSeeds, ...endpoints],
    });
  }

  private setServers(servers: readonly LocalServer[]): void {
    const records: ServerRecord[] = servers.map(
      ({address: unusedAddress, port: unusedPort, ...record}) => record,
    );
    this.handle({type: 'servers-changed', servers: records});
  }

  private handle(input: MembershipInput): void {
    const {clock, random} = this.parts;
    const effects = this.membership.handle(input, clock.now(), random);
    for (const effect of effects) this.carryOut(effect);
  }

  private carryOut(effect: MembershipEffect): void {
    const {bus, logger} = this.parts;
    switch (effect.type) {
      case 'send-datagram':
        bus.publish('send-datagram', {...effect.to, message: effect.message});
        break;
      case 'send-sync':
        bus.publish('send-address', {...effect.to, message: effect.message});
        break;
      case 'view-changed':
        this.publishViewSoon();
        break;
      case 'persist-seed':
        this.parts.seedDirectory.append(effect.endpoint);
        break;
      case 'identity-taken':
        logger.error({by: effect.by}, 'another process has this node id');
        this.parts.onReplaced?.();
        break;
    }
  }

  /** The first change at once, those that follow gathered. */
  private publishViewSoon(): void {
    this.viewPending = true;
    if (this.viewTimer) return;
    this.publishView();
    this.viewTimer = setTimeout(() => {
      this.viewTimer = undefined;
      if (this.viewPending) this.publishViewSoon();
    }, VIEW_INTERVAL_MS);
  }

  private publishView(): void {
    this.viewPending = false;
    const members = this.membership.view.members(
      ({status}) => status === 'alive' || status === 'suspect',
    );
    this.parts.bus.publish('view-changed', {members});
  }
}

function isDatagram(message: Message): message is MembershipMessage {
  return DATAGRAM_TYPES.has(message.type);
}
