/** Deadline and hop count of a call, carried in headers between hops. */

import {Err, Ok, type Result} from '@turmericmill/utils';

/** Time left until the deadline in whole ms; clocks of hosts differ. */
export const DEADLINE_HEADER = 'x-turmericmill-deadline-ms';
/** Nodes that the call has passed, from the first caller on. */
export const HOPS_HEADER = 'x-turmericmill-hops';
/** Hops after which a call is taken for a loop. */
export const MAX_HOPS = 32;

/** Why a call's headers are not accepted. Nothing was run. */
export type DeadlineErrorKind =
  'malformed-deadline' | 'malformed-hops' | 'expired' | 'too-many-hops';

/** A refusal to take the call, with the header value at fault. */
export interface DeadlineError {
  kind: DeadlineErrorKind;
  value: string;
}

/** Limits of a call at this node. */
export interface CallLimits {
  /** Time in ms since the epoch, by this node's clock. */
  deadlineMs: number;
  /** Hops before this node; 0 at the first. */
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

/** Reads the limits of a call; the route's timeout caps the deadline. */
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
  const left = parseNumber(
    headers[DEADLINE_HEADER],
    timeoutMs,
    'malformed-deadline',
  );
  if (left.isErr()) return left;
  if (left.value === 0) return Err({kind: 'expired', value: '0'});
  const remainingMs = Math.min(left.value, timeoutMs);
  return Ok({deadlineMs: nowMs + remainingMs, hops: hops.value});
}

/** The headers that the backend server receives, for its own calls. */
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
