/** A chain of services in a brown-out, driven by the retry decision itself. */

import {decideRetry, RetryBudget} from '@turmericmill/routing';
import {hash32, SeededRandom, type RandomSource} from '@turmericmill/utils';

/** Entry nodes that call each service, each with its own budget. */
const ENTRY_NODES = 12;
const SERVERS = 9;
const RETRY_PERCENT = 10;
const TIMEOUT_MS = 2_000;
const MAX_NAIVE_ATTEMPTS = 3;

/**
 * What a service in a brown-out does to a part of its calls. `refuse`: it does
 * not run them. `lose`: it runs them, and the answer is lost.
 */
export type BrownOutKind = 'refuse' | 'lose';

/** `deepest`: the last service fails. `all`: every service fails. */
export type BrownOutPlace = 'deepest' | 'all';

/** `budget`: the decision of routing. `naive`: three attempts at every hop. */
export type RetryPolicy = 'budget' | 'naive';

/** One row of the benchmark. */
export interface ChainRun {
  depth: number;
  kind: BrownOutKind;
  place: BrownOutPlace;
  /** Share of calls that a service in the brown-out fails. */
  failureShare: number;
  /** True if applications hand the mesh's headers on. */
  handsHeadersOn: boolean;
  policy: RetryPolicy;
  calls: number;
  /** Time in ms between callers' calls. */
  intervalMs: number;
  /** Runs of one caller's call at which it is given up. */
  maxRuns: number;
  seed: number;
}

/** Exact counts of one row. */
export interface ChainFigures {
  /** Runs at the service that ran most, for each caller's call. */
  mostRunsPerCall: number;
  /** Share of callers' calls that were answered well. */
  answeredShare: number;
  /** Callers' calls that were given up at `maxRuns`. */
  givenUp: number;
}

type End = 'answered' | 'server-error' | 'not-run' | 'unknown';

/** What a request carries from hop to hop. */
interface Carried {
  hops: number;
  repeated: boolean;
}

class RunLimitError extends Error {}

/** One chain; calls run one after the other, each in no time. */
export class RetryChain {
  private readonly random: RandomSource;
  private readonly budgets: RetryBudget[][];
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
    const most = Math.max(...this.runs);
    return {
      mostRunsPerCall: Number((most / calls).toFixed(3)),
      answeredShare: Number((answered / calls).toFixed(3)),
      givenUp,
    };
  }

  /** A call to the service at `level`, with its retries. */
  private call(level: number, carried: Carried): End {
    const budget = this.random.pick(this.budgets[level] ?? []);
    if (!budget) return 'server-error';
    budget.deposit(RETRY_PERCENT, this.nowMs);
    let {repeated} = carried;
    for (let attempts = 1; ; attempts++) {
      const end = this.attempt(level, {...carried, repeated});
      const again =
        this.cfg.policy === 'naive'
          ? end !== 'answered' && attempts < MAX_NAIVE_ATTEMPTS
          : this.decides(end, attempts, {...carried, repeated}, budget);
      if (!again) return end;
      if (end === 'unknown') repeated = true;
    }
  }

  private decides(
    end: End,
    attempts: number,
    carried: Carried,
    budget: RetryBudget,
  ): boolean {
    if (end === 'answered' || end === 'server-error') return false;
    const failed = {
      outcome: end,
      reason: end === 'not-run' ? 'overload' : 'connection-lost',
      attempts,
      repetition: 'repeatable',
      deadlineMs: this.nowMs + TIMEOUT_MS,
      ...carried,
      replayable: true,
      untried: SERVERS - attempts,
    } as const;
    return decideRetry(failed, budget, this.nowMs) === 'retry';
  }

  private attempt(level: number, carried: Carried): End {
    const {kind, depth} = this.cfg;
    const fails = this.fails(level);
    if (fails && kind === 'refuse') return 'not-run';
    this.runs[level] = (this.runs[level] ?? 0) + 1;
    this.callRuns++;
    if (this.callRuns > this.cfg.maxRuns) throw new RunLimitError();
    const end = level + 1 < depth ? this.subCall(level, carried) : 'answered';
    return fails ? 'unknown' : end;
  }

  /** The application answers with an error when its own call fails. */
  private subCall(level: number, carried: Carried): End {
    const next = this.cfg.handsHeadersOn
      ? {...carried, hops: carried.hops + 1}
      : {hops: 0, repeated: false};
    const end = this.call(level + 1, next);
    return end === 'answered' ? end : 'server-error';
  }

  private fails(level: number): boolean {
    const {place, depth, failureShare} = this.cfg;
    const affected = place === 'all' || level === depth - 1;
    return this.random.next() < failureShare && affected;
  }
}
