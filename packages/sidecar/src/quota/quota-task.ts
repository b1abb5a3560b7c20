/** Runs the usage caps of tenants: timers and messages between the nodes. */

import type {Tenant} from '@turmericmill/config';
import type {Bus, Peer} from '@turmericmill/node';
import {
  QuotaNode,
  quotaTerms,
  returnRight,
  tenantDigest,
  type QuotaBounds,
  type QuotaCap,
  type QuotaOutcome,
  type QuotaTerms,
  type QuotaTime,
  type RightLot,
} from '@turmericmill/routing';
import {DeadlineTimer, type Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {QuotaLog} from './quota-log.js';

/** Interval in ms at which log lines about the end of a state are due. */
const LOG_INTERVAL_MS = 1_000;

export interface QuotaTaskParts {
  nodeId: string;
  incarnation: number;
  bounds: QuotaBounds;
  bus: Bus;
  /** Stands still while the host is suspended. */
  steady: Clock;
  /** Does not. */
  progress: Clock;
  logger: Logger;
  /** Called for each request of a tenant with a cap. */
  onOutcome(outcome: 'granted' | 'cap' | 'no-reply'): void;
  /** Called for each message to another node. */
  onMessage(): void;
}

export class QuotaTask {
  private readonly node: QuotaNode;
  private readonly terms: QuotaTerms;
  private readonly log: QuotaLog;
  private readonly timer = new DeadlineTimer();
  private timerAtMs = Infinity;
  private logTimer: NodeJS.Timeout | undefined;
  /** Digest of each tenant that has a cap. */
  private digests: ReadonlyMap<string, number> = new Map();
  private stopped = false;

  constructor(private readonly parts: QuotaTaskParts) {
    const {nodeId, incarnation, bounds, bus, logger} = parts;
    this.terms = quotaTerms(bounds);
    this.log = new QuotaLog(logger);
    this.node = new QuotaNode({nodeId, incarnation}, this.terms, this.time);
    bus.subscribe('mesh-config', ({config}) => this.setCaps(config.tenants));
    bus.subscribe('view-changed', ({members, departed}) => {
      const live = members.map(member => ({
        nodeId: member.id,
        incarnation: member.incarnation,
      }));
      this.node.setLive(live, this.time);
      this.node.removeDeparted(departed ?? []);
    });
    bus.subscribe('stored-nodes', ({nodeIds}) => {
      this.node.addStored(nodeIds, this.time);
    });
    bus.subscribe('peer-lost', ({nodeId: lostId, calls}) => {
      if (calls) return;
      this.node.onLost(lostId, this.time);
      this.schedule();
    });
    bus.onPeerMessage('quotaAsk', ({body, peer}) => {
      this.node.onAsk(hostOf(peer), body, this.time);
      this.run();
    });
    bus.onPeerMessage('quotaGrant', ({body, peer}) => {
      this.node.onGrant(peer.nodeId, body, this.time);
      this.run();
    });
  }

  /** True if requests of the tenant need a right. */
  hasCap(tenant: string): boolean {
    return this.digests.has(tenant);
  }

  /**
   * Returns a right that is in hand at once; otherwise resolves when an owner
   * has replied, or is refused at the end of the wait. `latestMs`: time by the
   * steady clock up to which the request may wait.
   */
  acquire(
    tenant: string,
    latestMs: number,
  ): QuotaOutcome | Promise<QuotaOutcome> {
    const {time} = this;
    const digest = this.digests.get(tenant) ?? tenantDigest(tenant);
    const lot = this.node.take(digest, time);
    if (lot) {
      this.parts.onOutcome('granted');
      return {kind: 'granted', lot};
    }
    return new Promise(resolve => {
      const settle = (outcome: QuotaOutcome) => {
        this.record(tenant, outcome);
        resolve(outcome);
      };
      const sinceMs = time.steadyMs;
      const deadlineMs = Math.min(sinceMs + this.terms.waitMs, latestMs);
      this.node.wait(digest, {sinceMs, deadlineMs, settle}, time);
      this.run();
    });
  }

  /** Gives back the right of a request that has certainly not run. */
  release(lot: RightLot): void {
    returnRight(lot, this.time);
  }

  /** Leaves the role of an owner to others. */
  leaveOwnership(): void {
    for (const message of this.node.close(this.time)) this.send(message);
    this.schedule();
  }

  stop(): void {
    this.stopped = true;
    this.timer.clear();
    clearInterval(this.logTimer);
  }

  private get time(): QuotaTime {
    const {steady, progress} = this.parts;
    return {steadyMs: steady.now(), progressMs: progress.now()};
  }

  private setCaps(tenants: readonly Tenant[] = []): void {
    const digests = new Map<string, number>();
    const caps = new Map<number, QuotaCap>();
    for (const {name, requestsPerS, burst} of tenants) {
      if (requestsPerS <= 0) continue;
      const digest = tenantDigest(name);
      digests.set(name, digest);
      const other = caps.get(digest);
      // Two tenants with the same digest share the smaller cap.
      if (other && other.requestsPerS <= requestsPerS) continue;
      caps.set(digest, {requestsPerS, burst});
    }
    this.digests = digests;
    this.node.setCaps(caps, this.time);
  }

  private record(tenant: string, outcome: QuotaOutcome): void {
    const isGranted = outcome.kind === 'granted';
    const reason = isGranted ? 'granted' : outcome.reason;
    this.parts.onOutcome(reason);
    if (reason === 'cap') {
      this.log.recordRefusal(tenant, this.parts.steady.now());
    }
  }

  private run(): void {
    if (this.stopped) return;
    for (const message of this.node.step(this.time)) this.send(message);
    this.schedule();
  }

  private send(message: ReturnType<QuotaNode['step']>[number]): void {
    this.parts.onMessage();
    this.parts.bus.publish('send-peer', message);
  }

  /** Sets the timer for the next step, unless it fires early enough. */
  private schedule(): void {
    if (this.stopped) return;
    const {time} = this;
    const nextMs = this.node.nextStepMs(time);
    if (nextMs === Infinity) return;
    this.startLog();
    const isSet = this.timerAtMs > time.steadyMs;
    if (isSet && this.timerAtMs <= nextMs && this.timerAtMs < Infinity) return;
    this.timerAtMs = nextMs;
    this.timer.set(Math.max(0, nextMs - time.steadyMs), () => {
      this.timerAtMs = Infinity;
      this.run();
    });
  }

  /** Looks for ended states from the first message on. */
  private startLog(): void {
    this.logTimer ??= setInterval(() => {
      this.log.update(this.node.boundHosts, this.parts.steady.now());
    }, LOG_INTERVAL_MS);
  }
}

function hostOf({nodeId, incarnation}: Peer): {
  nodeId: string;
  incarnation: number;
} {
  return {nodeId, incarnation};
}
