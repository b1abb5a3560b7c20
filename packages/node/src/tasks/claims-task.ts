/** Claims for calls with an idempotency key: asks for them and writes them. */

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

/** Longest time in ms for which a call waits for its claim. */
const CLAIM_TIMEOUT_MS = 2_000;
const ASK_AGAIN_MS = 100;
/** Longest time in ms to wait for the answer of the try that holds the key. */
const CLAIMED_WAIT_MS = 1_000;
const LINGER_MS = 5_000;
/** Largest body of an answer that is kept, in bytes. */
export const MAX_KEPT_ANSWER_BYTES = 4096;
/** Interval in ms at which open tries are looked at. */
const CLIENT_TICK_MS = 25;
const MAX_SLEEP_MS = 1_000;

/** What a call with a key has to do. */
export type ClaimDecision =
  | {type: 'run'; callId: number}
  | {type: 'answer'; answer: KeptAnswer}
  | {type: 'refuse'; failure: CallFailure};

/** Names this start of this node. */
export interface ClaimsTaskIdentity {
  nodeId: string;
  incarnation: number;
}

export class ClaimsTask extends Task {
  private readonly client: ClaimClient;
  private readonly writers: ClaimWriters;
  private readonly waiting = new Map<number, (d: ClaimDecision) => void>();
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
    const start = `${nodeId}:${incarnation.toString(36)}`;
    this.client = new ClaimClient({
      claimIdPrefix: start,
      claimTimeoutMs: CLAIM_TIMEOUT_MS,
      claimedWaitMs: CLAIMED_WAIT_MS,
      retryIntervalMs: ASK_AGAIN_MS,
      lingerMs: LINGER_MS,
      maxKeptAnswerBytes: MAX_KEPT_ANSWER_BYTES,
    });
    this.writers = new ClaimWriters({
      writer: start,
      log,
      clock,
      random,
      deliver: (to, reply) => this.deliver(to, reply),
      onChange: () => this.sleep(),
    });
    this.subscribe();
  }

  override start(): void {
    this.stopped = false;
    this.sleep();
  }

  /** Gives up all partitions; open tries end by their own time limits. */
  override async stop(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.timer);
    await this.writers.stop();
  }

  /** Resolves when the call may run, is answered, or is refused. */
  claim(call: Omit<ClaimedCall, 'partition'>): Promise<ClaimDecision> {
    const callId = this.nextCallId++;
    const partition = claimPartition(call.key, CLAIM_PARTITIONS);
    return new Promise(resolve => {
      this.waiting.set(callId, resolve);
      const now = this.clock.now();
      const claimed = {...call, partition};
      this.carryOut(this.client.start(callId, claimed, now));
      this.sleep();
    });
  }

  /** Tells how a call ended that was allowed to run. */
  finished(callId: number, end: RunResult): void {
    this.carryOut(this.client.finished(callId, end, this.clock.now()));
    this.sleep();
  }

  private subscribe(): void {
    const {bus} = this;
    bus.subscribe('view-changed', ({members}) => this.setMembers(members));
    bus.onPeerMessage('claimRequest', ({body, peer}) => {
      this.writers.request(peer.nodeId, body);
      this.sleep();
    });
    bus.onPeerMessage('claimOutcome', ({body}) => {
      this.writers.outcome(body);
      this.sleep();
    });
    bus.onPeerMessage('claimReply', ({body}) => this.replied(body));
  }

  private setMembers(members: readonly MemberRecord[]): void {
    const alive = members.filter(member => member.status === 'alive');
    const ids = alive.map(member => member.id).sort();
    if (ids.join(' ') === this.memberIds.join(' ')) return;
    this.memberIds = ids;
    const own = new Set<number>();
    for (let partition = 0; partition < CLAIM_PARTITIONS; partition++) {
      const writer = selectClaimWriter(partition, ids);
      this.writerByPartition[partition] = writer;
      if (writer === this.identity.nodeId) own.add(partition);
    }
    if (!this.stopped) this.writers.setRoles(own);
    this.sleep();
  }

  private carryOut(effects: ClaimClientEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'ask':
          this.ask(effect.req);
          break;
        case 'report':
          this.report(effect.outcome);
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
    this.waiting.get(callId)?.(decision);
    this.waiting.delete(callId);
  }

  private ask(req: ClaimRequest): void {
    const writer = this.writerByPartition[req.partition];
    const {nodeId} = this.identity;
    if (writer === nodeId) this.writers.request(nodeId, req);
    else if (writer !== undefined) {
      const message = {type: 'claimRequest', body: req} as const;
      this.bus.publish('send-peer', {nodeId: writer, message});
    }
  }

  private report(outcome: ClaimOutcome): void {
    const writer = this.writerByPartition[outcome.partition];
    if (writer === this.identity.nodeId) this.writers.outcome(outcome);
    else if (writer !== undefined) {
      const message = {type: 'claimOutcome', body: outcome} as const;
      this.bus.publish('send-peer', {nodeId: writer, message});
    }
  }

  private deliver(nodeId: string, reply: ClaimReply): void {
    if (nodeId === this.identity.nodeId) this.replied(reply);
    else {
      const message = {type: 'claimReply', body: reply} as const;
      this.bus.publish('send-peer', {nodeId, message});
    }
  }

  private replied(reply: ClaimReply): void {
    this.carryOut(this.client.handleReply(reply, this.clock.now()));
  }

  /** Sets the timer for whatever is due first. */
  private sleep(): void {
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
    this.carryOut(this.client.tick(now));
    this.sleep();
  }
}
