/** Compares what callers were told with what backend servers did. */

/** What a caller was told. */
export type CallVerdict =
  | 'answered'
  /** The answer was that of another request, or cut short. */
  | 'mismatched'
  /** Refused, said not to have run. */
  | 'not-run'
  /** Failed, and may have run. */
  | 'unknown';

/** One call as its caller saw it. */
export interface CallRecord {
  requestId: string;
  method: string;
  path: string;
  /** True when the call must run at most once. */
  once: boolean;
  /** Header that identifies tries of the same request; `''` without one. */
  idempotencyKey: string;
  verdict: CallVerdict;
  status: number;
  reason: string;
  servedBy: string;
  latencyMs: number;
}

/** Exact counts of an audit. All but the first four have to be 0. */
export interface AuditCounts {
  calls: number;
  answered: number;
  notRun: number;
  unknown: number;
  mismatched: number;
  /** Requests that ran more than once though they must not. */
  repeated: number;
  /** Requests said not to have run that ran. */
  falselyNotRun: number;
  /** Requests answered without a run. */
  answeredWithoutRun: number;
}

/** Audits `calls` against the number of runs of each request. */
export function auditCalls(
  calls: readonly CallRecord[],
  runsByRequest: ReadonlyMap<string, number>,
): AuditCounts {
  const runsOf = (call: CallRecord) => runsByRequest.get(call.requestId) ?? 0;
  const count = (holds: (call: CallRecord) => boolean) =>
    calls.filter(holds).length;
  const has = (verdict: CallVerdict) => (call: CallRecord) =>
    call.verdict === verdict;
  return {
    calls: calls.length,
    answered: count(has('answered')),
    notRun: count(has('not-run')),
    unknown: count(has('unknown')),
    mismatched: count(has('mismatched')),
    repeated: countRepeated(calls, runsByRequest),
    falselyNotRun: count(call => has('not-run')(call) && runsOf(call) > 0),
    answeredWithoutRun: count(
      call =>
        call.idempotencyKey === '' &&
        has('answered')(call) &&
        runsOf(call) === 0,
    ),
  };
}

/** Tries with one idempotency key count as one request. */
function countRepeated(
  calls: readonly CallRecord[],
  runsByRequest: ReadonlyMap<string, number>,
): number {
  const runs = new Map<string, number>();
  for (const {once, idempotencyKey, requestId} of calls) {
    if (!once) continue;
    const request = idempotencyKey === '' ? requestId : `key ${idempotencyKey}`;
    const tryRuns = runsByRequest.get(requestId) ?? 0;
    runs.set(request, (runs.get(request) ?? 0) + tryRuns);
  }
  return [...runs.values()].filter(total => total > 1).length;
}
