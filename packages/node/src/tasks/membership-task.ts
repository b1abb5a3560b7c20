/** Runs the membership protocol: its timer, its messages and its seeds. */

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

/** Minimum time in ms between two publications of the view. */
const VIEW_INTERVAL_MS = 50;

/** Identity of this node, and the nodes that it joins first. */
export interface MembershipOptions {
  identity: NodeIdentity;
  /** Mesh addresses as `ip:port`. */
  seeds: string[];
}

/** Dependencies of `MembershipTask`. */
export interface MembershipParts {
  bus: Bus;
  clock: Clock;
  random: RandomSource;
  /** Directory of further seeds, in which nodes register their endpoints. */
  seedDirectory: SeedDirectory;
  logger: Logger;
  /** Called if a later process uses this node's id; this one must then stop. */
  onReplaced?: () => void;
}

/** Types of the membership messages that are sent as datagrams. */
const DATAGRAM_TYPES: ReadonlySet<string> = new Set([
  'probe',
  'probeRequest',
  'probeAck',
  'memberGossip',
  'memberDigest',
]);

export class MembershipTask extends Task {
  private readonly membership: Membership;
  private readonly configuredSeeds: Endpoint[];
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
    this.configuredSeeds = options.seeds.flatMap(
      text => parseEndpoint(text) ?? [],
    );
    bus.subscribe('local-servers', ({servers}) => this.setServers(servers));
    bus.subscribe('datagram', ({address, port, message}) => {
      if (!isDatagram(message)) return;
      this.handleInput({type: 'message', from: {address, port}, message});
    });
    bus.onPeerMessage('memberSync', ({type, body}) => {
      const from = {address: '', port: 0};
      this.handleInput({type: 'message', from, message: {type, body}});
    });
  }

  /** Counters since the start. */
  get counters(): Readonly<MembershipCounters> {
    return this.membership.counters;
  }

  /** This node's view of the members. */
  get view(): MembershipView {
    return this.membership.view;
  }

  override start(): void {
    this.setSeeds([]);
    this.publishView();
    this.parts.seedDirectory.start(endpoints => this.setSeeds(endpoints));
    this.tickTimer = setInterval(
      () => this.handleInput({type: 'tick'}),
      TICK_INTERVAL_MS,
    );
  }

  override stop(): void {
    this.stopWithoutLeaving();
    this.viewTimer = undefined;
    this.handleInput({type: 'leave'});
    clearTimeout(this.viewTimer);
  }

  /** Stops without notifying the other nodes, as in a crash. */
  stopWithoutLeaving(): void {
    clearInterval(this.tickTimer);
    clearTimeout(this.viewTimer);
    this.parts.seedDirectory.stop();
  }

  private setSeeds(endpoints: readonly Endpoint[]): void {
    this.handleInput({
      type: 'seeds',
      endpoints: [...this.configuredSeeds, ...endpoints],
    });
  }

  private setServers(servers: readonly LocalServer[]): void {
    const records: ServerRecord[] = servers.map(
      ({address: unusedAddress, port: unusedPort, ...record}) => record,
    );
    this.handleInput({type: 'servers-changed', servers: records});
  }

  private handleInput(input: MembershipInput): void {
    const {clock, random} = this.parts;
    const effects = this.membership.handle(input, clock.now(), random);
    for (const effect of effects) this.apply(effect);
  }

  private apply(effect: MembershipEffect): void {
    const {bus, logger} = this.parts;
    switch (effect.type) {
      case 'send-datagram':
        bus.publish('send-datagram', {...effect.to, message: effect.message});
        break;
      case 'send-sync':
        bus.publish('send-address', {...effect.to, message: effect.message});
        break;
      case 'view-changed':
        this.schedulePublishView();
        break;
      case 'persist-seed':
        this.parts.seedDirectory.append(effect.endpoint);
        break;
      case 'identity-taken':
        logger.error(
          {by: effect.by},
          'a process that started later uses the id of this node',
        );
        this.parts.onReplaced?.();
        break;
    }
  }

  /** Publishes the first change immediately and batches later ones. */
  private schedulePublishView(): void {
    this.viewPending = true;
    if (this.viewTimer) return;
    this.publishView();
    this.viewTimer = setTimeout(() => {
      this.viewTimer = undefined;
      if (this.viewPending) this.schedulePublishView();
    }, VIEW_INTERVAL_MS);
  }

  private publishView(): void {
    this.viewPending = false;
    const members = this.membership.view.members(
      ({status}) => status === 'alive' || status === 'suspect',
    );
    const left = this.membership.view.members(({status}) => status === 'left');
    const departed = left.map(({id}) => id);
    this.parts.bus.publish('view-changed', {members, departed});
  }
}

function isDatagram(message: Message): message is MembershipMessage {
  return DATAGRAM_TYPES.has(message.type);
}
