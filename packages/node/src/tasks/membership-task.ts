/** Tells other nodes of this one and learns of them. */

import type {Clock} from '@turmericmill/utils';
import type {MemberRecord, MessageOf, ServerRecord} from '@turmericmill/wire';

import type {Bus} from '../bus.js';
import {Task} from '../task.js';

const SYNC_INTERVAL_MS = 500;
const MEMBER_LIFETIME_MS = 3000;

/** This node's own record, and where it finds the first others. */
export interface MembershipOptions {
  self: MemberRecord;
  seeds: string[];
}

/** Full exchange with every member at a fixed interval. */
export class MembershipTask extends Task {
  private readonly members = new Map<string, MemberRecord>();
  private readonly expiresAtMs = new Map<string, number>();
  private self: MemberRecord;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly options: MembershipOptions,
    private readonly bus: Bus,
    private readonly clock: Clock,
  ) {
    super();
    this.self = options.self;
    bus.subscribe('local-servers', ({servers}) => {
      const records: ServerRecord[] = servers.map(
        ({address: unusedAddress, port: unusedPort, ...record}) => record,
      );
      this.self = {
        ...this.self,
        servers: records,
        revision: this.self.revision + 1,
      };
      this.publish();
      this.sync();
    });
    bus.onPeerMessage('memberSync', ({body, peer}) => {
      for (const member of body.members) {
        if (member.id === peer.nodeId) this.take(member);
        else this.greet(member);
      }
    });
  }

  override start(): void {
    this.publish();
    this.sync();
    this.timer = setInterval(() => {
      this.expire();
      this.sync();
    }, SYNC_INTERVAL_MS);
  }

  override stop(): void {
    clearInterval(this.timer);
  }

  private take(member: MemberRecord): void {
    if (member.id === this.self.id) return;
    const known = this.members.get(member.id);
    if (known && member.incarnation < known.incarnation) return;
    const now = this.clock.now();
    this.expiresAtMs.set(member.id, now + MEMBER_LIFETIME_MS);
    const same =
      known?.incarnation === member.incarnation &&
      known.revision === member.revision;
    this.members.set(member.id, member);
    if (!same) this.publish();
  }

  /** A member that others tell of counts once it has spoken for itself. */
  private greet(member: MemberRecord): void {
    const {id, address, port} = member;
    if (id === this.self.id || this.members.has(id)) return;
    const message = this.syncMessage();
    this.bus.publish('send-address', {address, port, message});
  }

  private syncMessage(): MessageOf<'memberSync'> {
    const members = [this.self, ...this.members.values()];
    return {type: 'memberSync', body: {reply: false, members, regions: []}};
  }

  private sync(): void {
    const message = this.syncMessage();
    const known = new Set<string>();
    for (const {id, address, port} of this.members.values()) {
      known.add(`${address}:${port}`);
      this.bus.publish('send-peer', {nodeId: id, message});
    }
    for (const seed of this.options.seeds) {
      const [address = '', port = '0'] = seed.split(':');
      if (known.has(seed) || seed === this.ownAddress()) continue;
      this.bus.publish('send-address', {address, port: Number(port), message});
    }
  }

  private ownAddress(): string {
    return `${this.self.address}:${this.self.port}`;
  }

  private expire(): void {
    const now = this.clock.now();
    for (const [id, expiresAtMs] of this.expiresAtMs) {
      if (expiresAtMs > now) continue;
      this.expiresAtMs.delete(id);
      this.members.delete(id);
      this.publish();
    }
  }

  private publish(): void {
    const members = [this.self, ...this.members.values()];
    this.bus.publish('view-changed', {members});
  }
}
