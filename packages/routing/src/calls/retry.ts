/** Whether a failed attempt is tried again. */

import type {Repetition} from '@turmericmill/config';
import type {FailureReason, Outcome} from '@turmericmill/wire';

import type {RetryBudget} from './retry-budget.js';

/** Attempts of one call at one hop, the first included. */
export const MAX_ATTEMPTS = 3;
/** Time in ms that an attempt needs at least. */
const MIN_ATTEMPT_MS = 2;

/** Says on an answer whether the request was run: an `Outcome`. */
export const OUTCOME_HEADER = 'x-turmericmill-outcome';
/**
 * `no` on an answer: the mesh has spent its retries on the request. `no` on a
 * request: an earlier hop is repeating it, so that it must not be repeated
 * after an unknown outcome further on.
 */
export const RETRY_HEADER = 'x-turmericmill-retry';

/** A failed attempt. An answer of the server, whatever its status, is none. */
export interface FailedAttempt {
  outcome: Outcome;
  reason: FailureReason;
  /** Attempts made so far, this one included. */
  attempts: number;
  repetition: Repetition;
  deadlineMs: number;
  /** Hops before this node. */
  hops: number;
  /** True if an earlier hop is repeating the request. */
  repeated: boolean;
  /** False once part of the body is gone and can't be sent again. */
  replayable: boolean;
  /** Ready servers that the call has not tried. */
  untried: number;
}

/** Why an attempt is not repeated. */
export type NoRetryReason =
  'final' | 'may-have-run' | 'attempts' | 'deadline' | 'servers' | 'budget';

/** `retry`, or the reason to answer the caller now. */
export type RetryDecision = 'retry' | NoRetryReason;

/** Failures that another server would repeat, or nobody waits for. */
const FINAL_REASONS: ReadonlySet<FailureReason> = new Set<FailureReason>([
  'deadline',
  'cancelled',
  'quarantined',
  'claimed',
  'claims-unavailable',
  'balance-used-up',
]);

/**
 * Tokens for repeating a request whose outcome is unknown at a hop. The
 * reciprocals of all hops add up to less than 1, so that a chain of any depth
 * repeats its last hop by no more than the share that one service allows.
 */
function repeatCost(hops: number): number {
  return (hops + 1) * (hops + 2);
}

function mayRepeat(failed: FailedAttempt): boolean {
  if (failed.outcome === 'not-run') return true;
  return failed.repetition === 'repeatable' && !failed.repeated;
}

/** Decides on a failed attempt; takes from the budget when it is retried. */
export function decideRetry(
  failed: FailedAttempt,
  budget: RetryBudget,
  nowMs: number,
): RetryDecision {
  if (FINAL_REASONS.has(failed.reason)) return 'final';
  if (!mayRepeat(failed) || !failed.replayable) return 'may-have-run';
  if (failed.attempts >= MAX_ATTEMPTS) return 'attempts';
  if (nowMs + MIN_ATTEMPT_MS > failed.deadlineMs) return 'deadline';
  if (failed.untried === 0) return 'servers';
  const cost = failed.outcome === 'not-run' ? 1 : repeatCost(failed.hops);
  return budget.withdraw(cost, nowMs) ? 'retry' : 'budget';
}
