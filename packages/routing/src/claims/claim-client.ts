/**
 * The entry node's side of claims: asks the writer for the right to run a
 * request, runs it at most once, and reports the end. A try that was given up
 * is never run, whatever is granted later.
 */

import {readChart, StateChart, type ChartEvent} from '@turmericmill/utils';
import type {
  ClaimOutcome,
  ClaimReply,
  ClaimRequest,
  FailureReason,
  KeptAnswer,
  Outcome,
} from '@turmericmill/wire';

export type ClaimClientState = 'asking' | 'running' | 'ended';

interface ClientEvent extends ChartEvent {
  type: 'granted' | 'refused' | 'expired' | 'finished';
}

const CHART = new StateChart<ClaimClientState, ClientEvent>(
  readChart(import.meta.url, './claim-client.chart.json'),
);

export interface ClaimClientOptions {
  /** Prefix of claim ids: unique over all nodes and their starts. */
  claimIdPrefix: string;
  /** Longest time in ms to wait for a grant. */
  claimTimeoutMs: number;
  /**
   * Longest time in ms for which a try waits for the answer of the one that
   * holds its key.
   */
  claimedWaitMs: number;
  /** Time in ms after which an unanswered question is asked again. */
  retryIntervalMs: number;
  /** Time in ms for which an ended try answers late grants. */
  lingerMs: number;
  /** Largest body of an answer that is kept. */
  maxKeptAnswerBytes: number;
}

/** A call with an idempotency key. */
export interface ClaimedCall {
  partition: number;
  key: string;
  requestDigest: string;
  /** Time in ms at which the caller waits no longer. */
  deadlineMs: number;
}

export type ClaimClientEffect =
  | {type: 'ask'; req: ClaimRequest}
  | {type: 'report'; outcome: ClaimOutcome}
  /** Run the call now. Comes at most once for each call. */
  | {type: 'run'; callId: number}
  | {type: 'answer'; callId: number; answer: KeptAnswer}
  | {
      type: 'refuse';
      callId: number;
      outcome: Outcome;
      reason: FailureReason;
      detail: string;
    };

/** How a call ended that was run. */
export type RunResult =
  {type: 'answered'; answer: KeptAnswer} | {type: Outcome};

interface Try {
  state: ClaimClientState;
  call: ClaimedCall;
  claimId: string;
  giveUpAtMs: number;
  askAgainAtMs: number;
  /** Set when another try holds the key: time in ms until which to wait. */
  claimedUntilMs: number;
  /** Set when ended: time in ms at which the try is forgotten. */
  forgetAtMs: number;
  /** False once the call was run: then a late grant must not be released. */
  wasNotRun: boolean;
}

const NOT_RUN_DETAIL = 'The claim could not be made in time.';
const CLAIMED_DETAIL = 'The idempotency key is claimed by another try.';
const MISMATCH_DETAIL = 'The idempotency key belongs to another request.';

export class ClaimClient {
  private readonly tries = new Map<number, Try>();
  private effects: ClaimClientEffect[] = [];

  constructor(private readonly options: ClaimClientOptions) {}

  /** Number of tries that are open or linger. */
  get size(): number {
    return this.tries.size;
  }

  /** Starts a try; `callId` is never used twice by this node's start. */
  start(callId: number, call: ClaimedCall, nowMs: number): ClaimClientEffect[] {
    const {claimIdPrefix, claimTimeoutMs} = this.options;
    const started: Try = {
      state: CHART.initial,
      call,
      claimId: `${claimIdPrefix}.${callId.toString(36)}`,
      giveUpAtMs: Math.min(call.deadlineMs, nowMs + claimTimeoutMs),
      askAgainAtMs: 0,
      claimedUntilMs: Infinity,
      forgetAtMs: Infinity,
      wasNotRun: true,
    };
    this.tries.set(callId, started);
    this.ask(callId, started, nowMs);
    return this.flush();
  }

  /** Takes a writer's reply; late and repeated ones do no harm. */
  handleReply(reply: ClaimReply, nowMs: number): ClaimClientEffect[] {
    const callId = reply.requestId;
    const asked = this.tries.get(callId);
    if (asked?.claimId !== reply.claimId) return [];
    if (asked.state !== 'asking') {
      const isLateGrant = reply.verdict === 'granted' && asked.wasNotRun;
      if (isLateGrant) this.release(asked);
      return this.flush();
    }
    this.decide(callId, asked, reply, nowMs);
    return this.flush();
  }

  /** Takes the end of a call that was run. */
  finished(callId: number, end: RunResult, nowMs: number): ClaimClientEffect[] {
    const run = this.tries.get(callId);
    if (run?.state !== 'running') return [];
    run.wasNotRun = end.type === 'not-run';
    this.end(run, 'finished', nowMs);
    if (run.wasNotRun) this.release(run);
    if (end.type === 'answered') this.keep(run, end.answer);
    return this.flush();
  }

  /** Asks again, or gives up, whatever is due. */
  tick(nowMs: number): ClaimClientEffect[] {
    for (const [callId, open] of this.tries) {
      if (open.state === 'ended') {
        if (nowMs >= open.forgetAtMs) this.tries.delete(callId);
      } else if (open.state === 'asking') {
        this.tickAsking(callId, open, nowMs);
      }
    }
    return this.flush();
  }

  private tickAsking(callId: number, open: Try, nowMs: number): void {
    if (nowMs >= Math.min(open.giveUpAtMs, open.claimedUntilMs)) {
      this.giveUp(callId, open, 'expired', true, nowMs);
    } else if (nowMs >= open.askAgainAtMs) {
      this.ask(callId, open, nowMs);
    }
  }

  private decide(
    callId: number,
    asked: Try,
    reply: ClaimReply,
    nowMs: number,
  ): void {
    switch (reply.verdict) {
      case 'granted':
        this.run(callId, asked, nowMs);
        break;
      case 'answered':
        this.end(asked, 'refused', nowMs);
        if (reply.answer) {
          this.effects.push({type: 'answer', callId, answer: reply.answer});
        } else this.refuse(callId, 'unknown', 'claimed', CLAIMED_DETAIL);
        break;
      case 'claimed':
        this.waitForHolder(callId, asked, nowMs);
        break;
      case 'mismatch':
        this.end(asked, 'refused', nowMs);
        this.refuse(callId, 'not-run', 'claimed', MISMATCH_DETAIL);
        break;
      case 'unavailable':
        this.giveUp(callId, asked, 'refused', reply.inDoubt, nowMs);
        break;
      case 'not-writer':
        // Asked again when due: the members' views may need time to agree.
        break;
    }
  }

  /** A host that was paused may find a grant after the deadline. */
  private run(callId: number, asked: Try, nowMs: number): void {
    if (nowMs >= asked.giveUpAtMs) {
      this.giveUp(callId, asked, 'expired', true, nowMs);
      return;
    }
    asked.state = CHART.next(asked.state, {type: 'granted'});
    asked.wasNotRun = false;
    this.effects.push({type: 'run', callId});
  }

  private giveUp(
    callId: number,
    asked: Try,
    event: 'refused' | 'expired',
    release: boolean,
    nowMs: number,
  ): void {
    this.end(asked, event, nowMs);
    if (release) this.release(asked);
    if (asked.claimedUntilMs === Infinity) {
      this.refuse(callId, 'not-run', 'claims-unavailable', NOT_RUN_DETAIL);
    } else this.refuse(callId, 'unknown', 'claimed', CLAIMED_DETAIL);
  }

  /** The holder may still be answered, or release the key. */
  private waitForHolder(callId: number, asked: Try, nowMs: number): void {
    const untilMs = nowMs + this.options.claimedWaitMs;
    asked.claimedUntilMs = Math.min(asked.claimedUntilMs, untilMs);
    if (nowMs < asked.claimedUntilMs) return;
    this.end(asked, 'refused', nowMs);
    this.refuse(callId, 'unknown', 'claimed', CLAIMED_DETAIL);
  }

  private end(open: Try, type: ClientEvent['type'], nowMs: number): void {
    open.state = CHART.next(open.state, {type});
    open.forgetAtMs = nowMs + this.options.lingerMs;
  }

  private ask(callId: number, open: Try, nowMs: number): void {
    const {partition, key, requestDigest} = open.call;
    const untilMs = Math.min(open.giveUpAtMs, open.claimedUntilMs);
    const remainingMs = untilMs - nowMs;
    const {claimId} = open;
    open.askAgainAtMs = nowMs + this.options.retryIntervalMs;
    const ids = {requestId: callId, partition, key, claimId};
    this.effects.push({type: 'ask', req: {...ids, requestDigest, remainingMs}});
  }

  private release({call, claimId}: Try): void {
    const {partition, key} = call;
    const outcome = {partition, key, claimId, outcome: 'released'} as const;
    this.effects.push({type: 'report', outcome});
  }

  private keep({call, claimId}: Try, answer: KeptAnswer): void {
    if (answer.body.length > this.options.maxKeptAnswerBytes) return;
    const {partition, key} = call;
    const ids = {partition, key, claimId};
    const outcome: ClaimOutcome = {...ids, outcome: 'answered', answer};
    this.effects.push({type: 'report', outcome});
  }

  private refuse(
    callId: number,
    outcome: Outcome,
    reason: FailureReason,
    detail: string,
  ): void {
    this.effects.push({type: 'refuse', callId, outcome, reason, detail});
  }

  private flush(): ClaimClientEffect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }
}
