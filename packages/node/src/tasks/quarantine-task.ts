/** Tells the other nodes of crashes and of requests that cause them. */

import {CrashLedger, type RequestStanding} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';
import type {
  CrashReport,
  MemberRecord,
  Message,
  Quarantine,
} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {Bus} from '../bus.js';
import type {CrashTracker, ServerInstance} from '../calls/admitted-server.js';
import {Task} from '../task.js';

/** Nodes to which a node passes news on; each passes it on once. */
const FAN_OUT = 6;

/** Owns the ledger of crashes; news spreads from node to node at random. */
export class QuarantineTask extends Task implements CrashTracker {
  private readonly ledger = new CrashLedger();
  private peers: string[] = [];

  constructor(
    private readonly nodeId: string,
    private readonly bus: Bus,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {
    super();
    bus.subscribe('view-changed', ({members}) => this.view(members));
    bus.onPeerMessage('crashReport', ({body}) => this.learn(body));
    bus.onPeerMessage('quarantine', ({body}) => this.accept(body));
    bus.onPeerMessage('suspectCleared', ({body}) => {
      this.answered(body.fingerprint);
    });
  }

  override start(): void {
    // All work follows from messages.
  }

  override stop(): void {
    this.peers = [];
  }

  standing(fingerprint: string): RequestStanding {
    return this.ledger.standing(fingerprint, this.clock.now());
  }

  answered(fingerprint: string): void {
    if (!this.ledger.clearSuspect(fingerprint)) return;
    this.spread({type: 'suspectCleared', body: {fingerprint}});
  }

  crashed({id, incarnation}: ServerInstance, fingerprints: string[]): void {
    const now = this.clock.now();
    const server = `${this.nodeId}/${id}/${incarnation}`;
    const report: CrashReport = {fingerprints, server, atMs: now};
    this.logger.warn({server, fingerprints}, 'backend server crashed');
    const found = this.ledger.recordLocalCrash(report, now);
    this.spread({type: 'crashReport', body: report});
    this.announce(found);
  }

  private learn(report: CrashReport): void {
    if (this.ledger.hasCrash(report)) return;
    const found = this.ledger.recordReportedCrash(report, this.clock.now());
    this.spread({type: 'crashReport', body: report});
    this.announce(found);
  }

  private accept(quarantine: Quarantine): void {
    const now = this.clock.now();
    const {fingerprint} = quarantine;
    if (this.ledger.standing(fingerprint, now) === 'quarantined') return;
    this.ledger.acceptQuarantine(quarantine, now);
    this.spread({type: 'quarantine', body: quarantine});
  }

  private announce(found: readonly Quarantine[]): void {
    for (const quarantine of found) {
      this.logger.warn({quarantine}, 'request quarantined');
      this.spread({type: 'quarantine', body: quarantine});
    }
  }

  private spread(message: Message): void {
    for (const nodeId of this.random.sample(this.peers, FAN_OUT)) {
      this.bus.publish('send-peer', {nodeId, message});
    }
  }

  private view(members: readonly MemberRecord[]): void {
    this.peers = members
      .filter(({id, status}) => id !== this.nodeId && status === 'alive')
      .map(({id}) => id);
  }
}
