/** Deadline and hop count of a call, carried in headers between hops. */

import {Err, Ok, type Result} from '@turmericmill/utils';

/** Remaining time in whole ms; relative, because the hosts' clocks differ. */
export const DEADLINE_HEADER = 'x-turmericmill-deadline-ms';
/** Number of nodes that the call has passed since its first caller. */
export const HOPS_HEADER = 'x-turmericmill-hops';
/** Number of hops at which a call is refused as a loop. */
export const MAX_HOPS = 32;

/** Why a call's headers are refused. The call has not been run. */
export type DeadlineErrorKind =
  'malformed-deadline' | 'malformed-hops' | 'expired' | 'too-many-hops';

/** Refusal of a call, with the header value that caused it. */
export interface DeadlineError {
  kind: DeadlineErrorKind;
  value: string;
}

/** Limits of a call at this node. */
export interface CallLimits {
  /** Deadline in ms since the epoch, by this node's clock. */
  deadlineMs: number;
  /** Number of hops before this node; 0 at the first node. */
  hops: number;
}

/** The two header values as received. */
export interface LimitHeaders {
  [DEADLINE_HEADER]?: string;
  [HOPS_HEADER]?: string;
}

const WHOLE_NUMBER = /^\d{1,15}$/;

function parseNumber(
  text: string | undefined,
  fallback: number,
  kind: DeadlineErrorKind,
): Result<number, DeadlineError> {
  if (text === undefined) return Ok(fallback);
  if (!WHOLE_NUMBER.test(text)) return Err({kind, value: text});
  return Ok(Number(text));
}

/** Parses the limits of a call. The route's timeout caps the deadline. */
export function readLimits(
  headers: LimitHeaders,
  timeoutMs: number,
  nowMs: number,
): Result<CallLimits, DeadlineError> {
  const hops = parseNumber(headers[HOPS_HEADER], 0, 'malformed-hops');
  if (hops.isErr()) return hops;
  if (hops.value >= MAX_HOPS) {
    return Err({kind: 'too-many-hops', value: String(hops.value)});
  }
  const remaining = parseNumber(
    headers[DEADLINE_HEADER],
    timeoutMs,
    'malformed-deadline',
  );
  if (remaining.isErr()) return remaining;
  if (remaining.value === 0) return Err({kind: 'expired', value: '0'});
  const remainingMs = Math.min(remaining.value, timeoutMs);
  return Ok({deadlineMs: nowMs + remainingMs, hops: hops.value});
}

/** Formats the headers that the backend server receives for its own calls. */
export function formatLimits(
  limits: CallLimits,
  nowMs: number,
): Required<LimitHeaders> {
  const remainingMs = Math.max(0, Math.floor(limits.deadlineMs - nowMs));
  return {
    [DEADLINE_HEADER]: String(remainingMs),
    [HOPS_HEADER]: String(limits.hops + 1),
  };
}
