/**
 * Requests claims for this node's calls with an idempotency key, and runs the
 * writers of the partitions that the membership assigns to this node.
 */

import type {LogClient} from '@turmericmill/platform';
import {
  CLAIM_PARTITIONS,
  ClaimClient,
  claimPartition,
  selectClaimWriter,
  type ClaimClientEffect,
  type ClaimedCall,
  type RunResult,
} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';
import type {
  ClaimOutcome,
  ClaimReply,
  ClaimRequest,
  KeptAnswer,
  MemberRecord,
} from '@turmericmill/wire';

import type {Bus} from '../bus.js';
import {NO_LOAD, type CallFailure} from '../calls/call-leg.js';
import {Task} from '../task.js';
import {ClaimWriters} from './claim-writers.js';

/** Maximum time in ms for which a call waits for its claim. */
const CLAIM_TIMEOUT_MS = 2_000;
/** Time in ms after which an unanswered claim request is repeated. */
const RETRY_INTERVAL_MS = 100;
/** Maximum time in ms to wait for the answer of the attempt holding the key. */
const CLAIMED_WAIT_MS = 1_000;
/** Time in ms for which an ended attempt is kept to release late grants. */
const LINGER_MS = 5_000;
/** Maximum size in bytes of the body of an answer that is kept. */
export const MAX_KEPT_ANSWER_BYTES = 4096;
/** Interval in ms at which timeouts are checked while attempts are kept. */
const CLIENT_TICK_MS = 25;
/** Maximum time in ms between two ticks. */
const MAX_SLEEP_MS = 1_000;

/** Decision on a call with an idempotency key. */
export type ClaimDecision =
  | {type: 'run'; callId: number}
  | {type: 'answer'; answer: KeptAnswer}
  | {type: 'refuse'; failure: CallFailure};

/** Identity of this node; the incarnation differs at each start. */
export interface ClaimsTaskIdentity {
  nodeId: string;
  incarnation: number;
}

export class ClaimsTask extends Task {
  private readonly client: ClaimClient;
  private readonly writers: ClaimWriters;
  private readonly pending = new Map<number, (d: ClaimDecision) => void>();
  private memberIds: string[] = [];
  private writerByPartition: (string | undefined)[] = [];
  private nextCallId = 1;
  private timer: NodeJS.Timeout | undefined;
  private wakeAtMs = Infinity;
  private stopped = false;

  constructor(
    private readonly identity: ClaimsTaskIdentity,
    log: LogClient,
    private readonly bus: Bus,
    private readonly clock: Clock,
    random: RandomSource,
  ) {
    super();
    const {nodeId, incarnation} = identity;
    const writerId = `${nodeId}:${incarnation.toString(36)}`;
    this.client = new ClaimClient({
      claimIdPrefix: writerId,
      claimTimeoutMs: CLAIM_TIMEOUT_MS,
      claimedWaitMs: CLAIMED_WAIT_MS,
      retryIntervalMs: RETRY_INTERVAL_MS,
      lingerMs: LINGER_MS,
      maxKeptAnswerBytes: MAX_KEPT_ANSWER_BYTES,
    });
    this.writers = new ClaimWriters({
      writer: writerId,
      log,
      clock,
      random,
      sendReply: (to, reply) => this.sendReply(to, reply),
      onChange: () => this.scheduleWake(),
    });
    this.subscribe();
  }

  override start(): void {
    this.stopped = false;
    this.scheduleWake();
  }

  /**
   * Resigns all partitions. Does not wait for open attempts, and no longer
   * checks their time-outs.
   */
  override async stop(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.timer);
    await this.writers.stop();
  }

  /** Resolves once it is decided whether to run, answer or refuse the call. */
  claim(call: Omit<ClaimedCall, 'partition'>): Promise<ClaimDecision> {
    const callId = this.nextCallId++;
    const partition = claimPartition(call.key, CLAIM_PARTITIONS);
    return new Promise(resolve => {
      this.pending.set(callId, resolve);
      const now = this.clock.now();
      const claimed = {...call, partition};
      this.applyEffects(this.client.start(callId, claimed, now));
      this.scheduleWake();
    });
  }

  /** Records the result of a call that was allowed to run. */
  finished(callId: number, result: RunResult): void {
    this.applyEffects(this.client.finished(callId, result, this.clock.now()));
    this.scheduleWake();
  }

  private subscribe(): void {
    const {bus} = this;
    bus.subscribe('view-changed', ({members}) => this.setMembers(members));
    bus.onPeerMessage('claimRequest', ({body, peer}) => {
      this.writers.handleRequest(peer.nodeId, body);
      this.scheduleWake();
    });
    bus.onPeerMessage('claimOutcome', ({body}) => {
      this.writers.handleOutcome(body);
      this.scheduleWake();
    });
    bus.onPeerMessage('claimReply', ({body}) => this.handleReply(body));
  }

  private setMembers(members: readonly MemberRecord[]): void {
    const alive = members.filter(member => member.status === 'alive');
    const ids = alive.map(member => member.id).sort();
    if (ids.join(' ') === this.memberIds.join(' ')) return;
    this.memberIds = ids;
    const ownPartitions = new Set<number>();
    for (let partition = 0; partition < CLAIM_PARTITIONS; partition++) {
      const writer = selectClaimWriter(partition, ids);
      this.writerByPartition[partition] = writer;
      if (writer === this.identity.nodeId) ownPartitions.add(partition);
    }
    if (!this.stopped) this.writers.setRoles(ownPartitions);
    this.scheduleWake();
  }

  private applyEffects(effects: ClaimClientEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'ask':
          this.sendRequest(effect.req);
          break;
        case 'report':
          this.sendOutcome(effect.outcome);
          break;
        case 'run':
        case 'answer':
          this.decide(effect.callId, effect);
          break;
        case 'refuse': {
          const {callId, outcome, reason, detail} = effect;
          const failure = {outcome, reason, detail, load: {...NO_LOAD}};
          this.decide(callId, {type: 'refuse', failure});
        }
      }
    }
  }

  private decide(callId: number, decision: ClaimDecision): void {
    this.pending.get(callId)?.(decision);
    this.pending.delete(callId);
  }

  private sendRequest(req: ClaimRequest): void {
    const writer = this.writerByPartition[req.partition];
    const {nodeId} = this.identity;
    if (writer === nodeId) this.writers.handleRequest(nodeId, req);
    else if (writer !== undefined) {
      const message = {type: 'claimRequest', body: req} as const;
      this.bus.publish('send-peer', {nodeId: writer, message});
    }
  }

  private sendOutcome(outcome: ClaimOutcome): void {
    const writer = this.writerByPartition[outcome.partition];
    if (writer === this.identity.nodeId) this.writers.handleOutcome(outcome);
    else if (writer !== undefined) {
      const message = {type: 'claimOutcome', body: outcome} as const;
      this.bus.publish('send-peer', {nodeId: writer, message});
    }
  }

  private sendReply(nodeId: string, reply: ClaimReply): void {
    if (nodeId === this.identity.nodeId) this.handleReply(reply);
    else {
      const message = {type: 'claimReply', body: reply} as const;
      this.bus.publish('send-peer', {nodeId, message});
    }
  }

  private handleReply(reply: ClaimReply): void {
    this.applyEffects(this.client.handleReply(reply, this.clock.now()));
  }

  /** Sets the timer for the earliest work of the client and the writers. */
  private scheduleWake(): void {
    if (this.stopped) return;
    const now = this.clock.now();
    const sleepMs = this.client.size > 0 ? CLIENT_TICK_MS : MAX_SLEEP_MS;
    const atMs = Math.min(this.writers.wakeAtMs, now + sleepMs);
    if (atMs >= this.wakeAtMs && this.timer) return;
    clearTimeout(this.timer);
    this.wakeAtMs = atMs;
    this.timer = setTimeout(() => this.wake(), Math.max(0, atMs - now));
  }

  private wake(): void {
    this.timer = undefined;
    const now = this.clock.now();
    this.writers.tick(now);
    this.applyEffects(this.client.tick(now));
    this.scheduleWake();
  }
}
