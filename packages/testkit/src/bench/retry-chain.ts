/** Simulates a chain of services in a brownout with the retry decision code. */

import {decideRetry, RetryBudget} from '@turmericmill/routing';
import {hash32, SeededRandom, type RandomSource} from '@turmericmill/utils';

/** Number of entry nodes that call each service; each has its own budget. */
const ENTRY_NODES = 12;
/** Number of servers of each service. */
const SERVERS = 9;
/** Retries allowed as a percentage of calls. */
const RETRY_PERCENT = 10;
const TIMEOUT_MS = 2_000;
/** Attempts at each hop under the `naive` policy, including the first. */
const MAX_NAIVE_ATTEMPTS = 3;

/**
 * How a service in a brownout, a partial failure, fails a share of its calls.
 * `refuse`: it does not run them. `lose`: it runs them and the answer is lost.
 */
export type BrownoutKind = 'refuse' | 'lose';

/** `deepest`: the last service fails. `all`: every service fails. */
export type BrownoutPlace = 'deepest' | 'all';

/** `budget`: `decideRetry` of routing. `naive`: three attempts at every hop. */
export type RetryPolicy = 'budget' | 'naive';

/** Parameters of one row of the benchmark. */
export interface ChainRun {
  depth: number;
  kind: BrownoutKind;
  place: BrownoutPlace;
  /** Share of calls that a service in the brownout fails. */
  failureShare: number;
  /** True if applications propagate the headers of the mesh to their calls. */
  handsHeadersOn: boolean;
  policy: RetryPolicy;
  calls: number;
  /** Time in ms between callers' calls. */
  intervalMs: number;
  /** Runs of one caller's call, at all services, above which it is aborted. */
  maxRuns: number;
  seed: number;
}

/** Figures of one row. */
export interface ChainFigures {
  /** Runs per caller's call at the service with the most runs. */
  mostRunsPerCall: number;
  /** Share of callers' calls that were answered without an error. */
  answeredShare: number;
  /** Number of callers' calls aborted for more than `maxRuns` runs. */
  givenUp: number;
}

type CallEnd = 'answered' | 'server-error' | 'not-run' | 'unknown';

/** State that a request carries in its headers from hop to hop. */
interface PropagatedHeaders {
  hops: number;
  repeated: boolean;
}

class RunLimitError extends Error {}

/** One chain. Calls run one after the other and take no simulated time. */
export class RetryChain {
  private readonly random: RandomSource;
  /** Retry budgets by level of the service and by entry node. */
  private readonly budgets: RetryBudget[][];
  /** Number of runs by level of the service. */
  private readonly runs: number[];
  private callRuns = 0;
  private nowMs = 0;

  constructor(private readonly cfg: ChainRun) {
    this.random = new SeededRandom(hash32(`retries/${cfg.seed}`));
    this.runs = new Array<number>(cfg.depth).fill(0);
    this.budgets = this.runs.map(() =>
      Array.from({length: ENTRY_NODES}, () => new RetryBudget(0)),
    );
  }

  run(): ChainFigures {
    const {calls, intervalMs} = this.cfg;
    let answered = 0;
    let givenUp = 0;
    for (let call = 0; call < calls; call++) {
      this.nowMs = call * intervalMs;
      this.callRuns = 0;
      try {
        const end = this.call(0, {hops: 0, repeated: false});
        if (end === 'answered') answered++;
      } catch (err) {
        if (!(err instanceof RunLimitError)) throw err;
        givenUp++;
      }
    }
    const mostRuns = Math.max(...this.runs);
    return {
      mostRunsPerCall: Number((mostRuns / calls).toFixed(3)),
      answeredShare: Number((answered / calls).toFixed(3)),
      givenUp,
    };
  }

  /** Calls the service at `level`, with retries. */
  private call(level: number, headers: PropagatedHeaders): CallEnd {
    const budget = this.random.pick(this.budgets[level] ?? []);
    if (!budget) return 'server-error';
    budget.deposit(RETRY_PERCENT, this.nowMs);
    let {repeated} = headers;
    for (let attempts = 1; ; attempts++) {
      const end = this.attempt(level, {...headers, repeated});
      const isRetried =
        this.cfg.policy === 'naive'
          ? end !== 'answered' && attempts < MAX_NAIVE_ATTEMPTS
          : this.shouldRetry(end, attempts, {...headers, repeated}, budget);
      if (!isRetried) return end;
      if (end === 'unknown') repeated = true;
    }
  }

  private shouldRetry(
    end: CallEnd,
    attempts: number,
    headers: PropagatedHeaders,
    budget: RetryBudget,
  ): boolean {
    if (end === 'answered' || end === 'server-error') return false;
    const failed = {
      outcome: end,
      reason: end === 'not-run' ? 'overload' : 'connection-lost',
      attempts,
      repetition: 'repeatable',
      deadlineMs: this.nowMs + TIMEOUT_MS,
      ...headers,
      replayable: true,
      untried: SERVERS - attempts,
    } as const;
    return decideRetry(failed, budget, this.nowMs) === 'retry';
  }

  private attempt(level: number, headers: PropagatedHeaders): CallEnd {
    const {kind, depth} = this.cfg;
    const isFailing = this.drawsFailure(level);
    if (isFailing && kind === 'refuse') return 'not-run';
    this.runs[level] = (this.runs[level] ?? 0) + 1;
    this.callRuns++;
    if (this.callRuns > this.cfg.maxRuns) throw new RunLimitError();
    const end = level + 1 < depth ? this.subCall(level, headers) : 'answered';
    return isFailing ? 'unknown' : end;
  }

  /** Calls the next service; a failure becomes an error of the application. */
  private subCall(level: number, headers: PropagatedHeaders): CallEnd {
    const next = this.cfg.handsHeadersOn
      ? {...headers, hops: headers.hops + 1}
      : {hops: 0, repeated: false};
    const end = this.call(level + 1, next);
    return end === 'answered' ? end : 'server-error';
  }

  private drawsFailure(level: number): boolean {
    const {place, depth, failureShare} = this.cfg;
    const isAffected = place === 'all' || level === depth - 1;
    return this.random.next() < failureShare && isAffected;
  }
}
