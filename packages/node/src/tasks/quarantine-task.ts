/** Reports crashes, and the requests that cause them, to the other nodes. */

import {CrashLedger, type QuarantineStatus} from '@turmericmill/routing';
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

/** Number of nodes to which a node forwards a message; each forwards once. */
const FAN_OUT = 6;

/**
 * Keeps the ledger of crashes and spreads its changes by gossip: each message
 * is forwarded to randomly selected nodes.
 */
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
    bus.subscribe('view-changed', ({members}) => this.setMembers(members));
    bus.onPeerMessage('crashReport', ({body}) => this.onCrashReport(body));
    bus.onPeerMessage('quarantine', ({body}) => this.onQuarantine(body));
    bus.onPeerMessage('suspectCleared', ({body}) => {
      this.answered(body.fingerprint);
    });
  }

  override start(): void {
    // Nothing to start: all work is done on messages and calls.
  }

  override stop(): void {
    this.peers = [];
  }

  statusOf(fingerprint: string): QuarantineStatus {
    return this.ledger.statusOf(fingerprint, this.clock.now());
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
    const quarantines = this.ledger.recordLocalCrash(report, now);
    this.spread({type: 'crashReport', body: report});
    this.spreadQuarantines(quarantines);
  }

  private onCrashReport(report: CrashReport): void {
    if (this.ledger.hasCrash(report)) return;
    const quarantines = this.ledger.recordReportedCrash(
      report,
      this.clock.now(),
    );
    this.spread({type: 'crashReport', body: report});
    this.spreadQuarantines(quarantines);
  }

  private onQuarantine(quarantine: Quarantine): void {
    const now = this.clock.now();
    const {fingerprint} = quarantine;
    if (this.ledger.statusOf(fingerprint, now) === 'quarantined') return;
    this.ledger.acceptQuarantine(quarantine, now);
    this.spread({type: 'quarantine', body: quarantine});
  }

  private spreadQuarantines(quarantines: readonly Quarantine[]): void {
    for (const quarantine of quarantines) {
      this.logger.warn({quarantine}, 'request quarantined');
      this.spread({type: 'quarantine', body: quarantine});
    }
  }

  private spread(message: Message): void {
    for (const nodeId of this.random.sample(this.peers, FAN_OUT)) {
      this.bus.publish('send-peer', {nodeId, message});
    }
  }

  private setMembers(members: readonly MemberRecord[]): void {
    this.peers = members
      .filter(({id, status}) => id !== this.nodeId && status === 'alive')
      .map(({id}) => id);
  }
}
