/** Decides whether a failed attempt is retried. */

import type {Repetition} from '@turmericmill/config';
import type {FailureReason, Outcome} from '@turmericmill/wire';

import type {RetryBudget} from './retry-budget.js';

/** Maximum number of attempts of one call at one hop, including the first. */
export const MAX_ATTEMPTS = 3;
/** Minimum remaining time in ms for another attempt. */
const MIN_ATTEMPT_MS = 2;

/** Header of an answer with the request's `Outcome`: whether it was run. */
export const OUTCOME_HEADER = 'x-turmericmill-outcome';
/**
 * `no` on an answer: the mesh has used up its retries for the request. `no` on
 * a request: an earlier hop is retrying it, so a later hop must not retry it
 * after an unknown outcome.
 */
export const RETRY_HEADER = 'x-turmericmill-retry';

/** A failed attempt. An answer of any status is not a failure. */
export interface FailedAttempt {
  outcome: Outcome;
  reason: FailureReason;
  /** Number of attempts so far, including this one. */
  attempts: number;
  repetition: Repetition;
  deadlineMs: number;
  /** Number of hops before this node. */
  hops: number;
  /** True if an earlier hop is retrying the request. */
  repeated: boolean;
  /** False if part of the body is no longer available to be sent again. */
  replayable: boolean;
  /** Number of ready servers at which the call has not been attempted. */
  untried: number;
}

/** Why a failed attempt is not retried. */
export type NoRetryReason =
  'final' | 'may-have-run' | 'attempts' | 'deadline' | 'servers' | 'budget';

/** `retry`, or the reason for which the caller is answered now. */
export type RetryDecision = 'retry' | NoRetryReason;

/**
 * Failures for which a retry is useless: another server would fail in the same
 * way, or the caller is no longer waiting.
 */
const FINAL_REASONS: ReadonlySet<FailureReason> = new Set<FailureReason>([
  'deadline',
  'cancelled',
  'quarantined',
  'claimed',
  'claims-unavailable',
  'balance-used-up',
]);

/**
 * Number of tokens for retrying a request with an unknown outcome. The
 * reciprocals of the costs of all hops sum to less than 1, so in a chain of any
 * depth the retries at the last hop stay within the share that one service
 * allows.
 */
function retryCost(hops: number): number {
  return (hops + 1) * (hops + 2);
}

function mayRetry(failed: FailedAttempt): boolean {
  if (failed.outcome === 'not-run') return true;
  return failed.repetition === 'repeatable' && !failed.repeated;
}

/** Decides on a failed attempt; a retry withdraws its cost from the budget. */
export function decideRetry(
  failed: FailedAttempt,
  budget: RetryBudget,
  nowMs: number,
): RetryDecision {
  if (FINAL_REASONS.has(failed.reason)) return 'final';
  if (!mayRetry(failed) || !failed.replayable) return 'may-have-run';
  if (failed.attempts >= MAX_ATTEMPTS) return 'attempts';
  if (nowMs + MIN_ATTEMPT_MS > failed.deadlineMs) return 'deadline';
  if (failed.untried === 0) return 'servers';
  const cost = failed.outcome === 'not-run' ? 1 : retryCost(failed.hops);
  return budget.withdraw(cost, nowMs) ? 'retry' : 'budget';
}
