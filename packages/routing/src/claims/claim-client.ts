/**
 * Client side of claims in the entry node: requests the claim, the right to run
 * a call, from the writer, runs the call at most once, and reports the outcome.
 * An ended attempt is never run, even if its claim is granted later.
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

/** `asking`: requests the claim, until it is granted or the attempt ends. */
export type ClaimClientState = 'asking' | 'running' | 'ended';

interface ClientEvent extends ChartEvent {
  type: 'granted' | 'refused' | 'expired' | 'finished';
}

const CHART = new StateChart<ClaimClientState, ClientEvent>(
  readChart(import.meta.url, './claim-client.chart.json'),
);

export interface ClaimClientOptions {
  /** Prefix of claim ids; unique across all nodes and their restarts. */
  claimIdPrefix: string;
  /** Maximum time in ms to wait for a grant. */
  claimTimeoutMs: number;
  /**
   * Maximum time in ms for which an attempt waits for the answer of the attempt
   * that holds its key.
   */
  claimedWaitMs: number;
  /** Time in ms after which an attempt still `asking` repeats its request. */
  retryIntervalMs: number;
  /** Time in ms for which an ended attempt is kept to release late grants. */
  lingerMs: number;
  /** Maximum size in bytes of the body of an answer that is kept. */
  maxKeptAnswerBytes: number;
}

/** A call with an idempotency key. */
export interface ClaimedCall {
  partition: number;
  key: string;
  requestDigest: string;
  /** Time in ms at which the caller stops waiting. */
  deadlineMs: number;
}

export type ClaimClientEffect =
  /** Request the claim from the writer; repeated while `asking`. */
  | {type: 'ask'; req: ClaimRequest}
  | {type: 'report'; outcome: ClaimOutcome}
  /** Run the call now; emitted at most once per call. */
  | {type: 'run'; callId: number}
  | {type: 'answer'; callId: number; answer: KeptAnswer}
  | {
      type: 'refuse';
      callId: number;
      outcome: Outcome;
      reason: FailureReason;
      detail: string;
    };

/** Result of a call that was run. */
export type RunResult =
  {type: 'answered'; answer: KeptAnswer} | {type: Outcome};

interface Attempt {
  state: ClaimClientState;
  call: ClaimedCall;
  claimId: string;
  timeoutAtMs: number;
  nextRequestAtMs: number;
  /**
   * Time in ms until which to wait for the attempt that holds the key; infinite
   * while none is known.
   */
  holderUntilMs: number;
  /** Time in ms at which the ended attempt is removed; infinite before. */
  removeAtMs: number;
  /** False once the call may have run; a late grant is then not released. */
  wasNotRun: boolean;
}

const NOT_RUN_DETAIL = 'The claim could not be made in time.';
const CLAIMED_DETAIL = 'The idempotency key is claimed by another attempt.';
const MISMATCH_DETAIL = 'The idempotency key belongs to another request.';

export class ClaimClient {
  private readonly attempts = new Map<number, Attempt>();
  private effects: ClaimClientEffect[] = [];

  constructor(private readonly options: ClaimClientOptions) {}

  /** Number of attempts, including ended ones that are not yet removed. */
  get size(): number {
    return this.attempts.size;
  }

  /** Starts an attempt; each `callId` is used once per start of the node. */
  start(callId: number, call: ClaimedCall, nowMs: number): ClaimClientEffect[] {
    const {claimIdPrefix, claimTimeoutMs} = this.options;
    const attempt: Attempt = {
      state: CHART.initial,
      call,
      claimId: `${claimIdPrefix}.${callId.toString(36)}`,
      timeoutAtMs: Math.min(call.deadlineMs, nowMs + claimTimeoutMs),
      nextRequestAtMs: 0,
      holderUntilMs: Infinity,
      removeAtMs: Infinity,
      wasNotRun: true,
    };
    this.attempts.set(callId, attempt);
    this.requestClaim(callId, attempt, nowMs);
    return this.flush();
  }

  /** Handles a writer's reply. Late and repeated replies cause no second run. */
  handleReply(reply: ClaimReply, nowMs: number): ClaimClientEffect[] {
    const callId = reply.requestId;
    const attempt = this.attempts.get(callId);
    if (attempt?.claimId !== reply.claimId) return [];
    if (attempt.state !== 'asking') {
      const isLateGrant = reply.verdict === 'granted' && attempt.wasNotRun;
      if (isLateGrant) this.reportRelease(attempt);
      return this.flush();
    }
    this.applyVerdict(callId, attempt, reply, nowMs);
    return this.flush();
  }

  /** Records the end of a call that was run. */
  finished(
    callId: number,
    result: RunResult,
    nowMs: number,
  ): ClaimClientEffect[] {
    const attempt = this.attempts.get(callId);
    if (attempt?.state !== 'running') return [];
    attempt.wasNotRun = result.type === 'not-run';
    this.end(attempt, 'finished', nowMs);
    if (attempt.wasNotRun) this.reportRelease(attempt);
    if (result.type === 'answered') this.reportAnswer(attempt, result.answer);
    return this.flush();
  }

  /**
   * Repeats the requests of attempts that are still `asking`, and ends and
   * removes attempts whose time is up.
   */
  tick(nowMs: number): ClaimClientEffect[] {
    for (const [callId, attempt] of this.attempts) {
      if (attempt.state === 'ended') {
        if (nowMs >= attempt.removeAtMs) this.attempts.delete(callId);
      } else if (attempt.state === 'asking') {
        this.tickAsking(callId, attempt, nowMs);
      }
    }
    return this.flush();
  }

  private tickAsking(callId: number, attempt: Attempt, nowMs: number): void {
    if (nowMs >= Math.min(attempt.timeoutAtMs, attempt.holderUntilMs)) {
      this.endWithoutRun(callId, attempt, 'expired', true, nowMs);
    } else if (nowMs >= attempt.nextRequestAtMs) {
      this.requestClaim(callId, attempt, nowMs);
    }
  }

  private applyVerdict(
    callId: number,
    attempt: Attempt,
    reply: ClaimReply,
    nowMs: number,
  ): void {
    switch (reply.verdict) {
      case 'granted':
        this.run(callId, attempt, nowMs);
        break;
      case 'answered':
        this.end(attempt, 'refused', nowMs);
        if (reply.answer) {
          this.effects.push({type: 'answer', callId, answer: reply.answer});
        } else this.refuse(callId, 'unknown', 'claimed', CLAIMED_DETAIL);
        break;
      case 'claimed':
        this.waitForHolder(callId, attempt, nowMs);
        break;
      case 'mismatch':
        this.end(attempt, 'refused', nowMs);
        this.refuse(callId, 'not-run', 'claimed', MISMATCH_DETAIL);
        break;
      case 'unavailable':
        this.endWithoutRun(callId, attempt, 'refused', reply.inDoubt, nowMs);
        break;
      case 'not-writer':
        // The request is repeated later: the members' views may not have
        // converged yet.
        break;
    }
  }

  /** Runs the call unless it has timed out, as on a host that was paused. */
  private run(callId: number, attempt: Attempt, nowMs: number): void {
    if (nowMs >= attempt.timeoutAtMs) {
      this.endWithoutRun(callId, attempt, 'expired', true, nowMs);
      return;
    }
    attempt.state = CHART.next(attempt.state, {type: 'granted'});
    attempt.wasNotRun = false;
    this.effects.push({type: 'run', callId});
  }

  private endWithoutRun(
    callId: number,
    attempt: Attempt,
    event: 'refused' | 'expired',
    mustRelease: boolean,
    nowMs: number,
  ): void {
    this.end(attempt, event, nowMs);
    if (mustRelease) this.reportRelease(attempt);
    if (attempt.holderUntilMs === Infinity) {
      this.refuse(callId, 'not-run', 'claims-unavailable', NOT_RUN_DETAIL);
    } else this.refuse(callId, 'unknown', 'claimed', CLAIMED_DETAIL);
  }

  /** Waits for the holder, which may still report an answer or a release. */
  private waitForHolder(callId: number, attempt: Attempt, nowMs: number): void {
    const untilMs = nowMs + this.options.claimedWaitMs;
    attempt.holderUntilMs = Math.min(attempt.holderUntilMs, untilMs);
    if (nowMs < attempt.holderUntilMs) return;
    this.end(attempt, 'refused', nowMs);
    this.refuse(callId, 'unknown', 'claimed', CLAIMED_DETAIL);
  }

  private end(
    attempt: Attempt,
    type: ClientEvent['type'],
    nowMs: number,
  ): void {
    attempt.state = CHART.next(attempt.state, {type});
    attempt.removeAtMs = nowMs + this.options.lingerMs;
  }

  private requestClaim(callId: number, attempt: Attempt, nowMs: number): void {
    const {partition, key, requestDigest} = attempt.call;
    const untilMs = Math.min(attempt.timeoutAtMs, attempt.holderUntilMs);
    const remainingMs = untilMs - nowMs;
    const {claimId} = attempt;
    attempt.nextRequestAtMs = nowMs + this.options.retryIntervalMs;
    const ids = {requestId: callId, partition, key, claimId};
    this.effects.push({type: 'ask', req: {...ids, requestDigest, remainingMs}});
  }

  private reportRelease({call, claimId}: Attempt): void {
    const {partition, key} = call;
    const outcome = {partition, key, claimId, outcome: 'released'} as const;
    this.effects.push({type: 'report', outcome});
  }

  private reportAnswer({call, claimId}: Attempt, answer: KeptAnswer): void {
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
