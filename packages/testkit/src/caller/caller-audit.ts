/** Compares the results that callers received with the runs of the servers. */

/** Result of a call as its caller received it. */
export type CallVerdict =
  | 'answered'
  /** The answer belongs to another request or is truncated. */
  | 'mismatched'
  /** Refused; the answer states that the request has not run. */
  | 'not-run'
  /** Failed; the request may have run. */
  | 'unknown';

/** A call as recorded by its caller. */
export interface CallRecord {
  requestId: string;
  method: string;
  path: string;
  /** True when the call must run at most once. */
  once: boolean;
  /** Key that identifies attempts of the same request; `''` without one. */
  idempotencyKey: string;
  verdict: CallVerdict;
  status: number;
  reason: string;
  servedBy: string;
  latencyMs: number;
}

/** Exact counts of an audit. All but the first four must be 0. */
export interface AuditCounts {
  calls: number;
  answered: number;
  notRun: number;
  unknown: number;
  mismatched: number;
  /** Requests that ran more than once although they must not. */
  repeated: number;
  /** Requests that ran although their answer states that they have not. */
  falselyNotRun: number;
  /** Requests without an idempotency key that were answered without a run. */
  answeredWithoutRun: number;
}

/** Compares `calls` with the number of runs of each request. */
export function auditCalls(
  calls: readonly CallRecord[],
  runsByRequest: ReadonlyMap<string, number>,
): AuditCounts {
  const runsOf = (call: CallRecord) => runsByRequest.get(call.requestId) ?? 0;
  const count = (predicate: (call: CallRecord) => boolean) =>
    calls.filter(predicate).length;
  const hasVerdict = (verdict: CallVerdict) => (call: CallRecord) =>
    call.verdict === verdict;
  return {
    calls: calls.length,
    answered: count(hasVerdict('answered')),
    notRun: count(hasVerdict('not-run')),
    unknown: count(hasVerdict('unknown')),
    mismatched: count(hasVerdict('mismatched')),
    repeated: countRepeated(calls, runsByRequest),
    falselyNotRun: count(
      call => hasVerdict('not-run')(call) && runsOf(call) > 0,
    ),
    answeredWithoutRun: count(
      call =>
        call.idempotencyKey === '' &&
        hasVerdict('answered')(call) &&
        runsOf(call) === 0,
    ),
  };
}

/** Attempts with the same idempotency key count as one request. */
function countRepeated(
  calls: readonly CallRecord[],
  runsByRequest: ReadonlyMap<string, number>,
): number {
  const runs = new Map<string, number>();
  for (const {once, idempotencyKey, requestId} of calls) {
    if (!once) continue;
    const request = idempotencyKey === '' ? requestId : `key ${idempotencyKey}`;
    const attemptRuns = runsByRequest.get(requestId) ?? 0;
    runs.set(request, (runs.get(request) ?? 0) + attemptRuns);
  }
  return [...runs.values()].filter(total => total > 1).length;
}
