/** Runs at backend servers per caller's call in a brownout. */

import {
  Bench,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {
  RetryChain,
  type BrownoutKind,
  type BrownoutPlace,
  type ChainFigures,
  type ChainRun,
} from './retry-chain.js';

/** Target: maximum number of runs per caller's call at any service. */
const TARGET_RUNS_PER_CALL = 1.1;

interface Row {
  depth: number;
  kind: BrownoutKind;
  place: BrownoutPlace;
  failureShare: number;
  handsHeadersOn: boolean;
  met: boolean;
  budget: ChainFigures;
  naive: ChainFigures;
}

const BROWNOUTS: {kind: BrownoutKind; place: BrownoutPlace; share: number}[] = [
  {kind: 'refuse', place: 'deepest', share: 0.5},
  {kind: 'lose', place: 'deepest', share: 0.5},
  {kind: 'refuse', place: 'all', share: 0.1},
  {kind: 'lose', place: 'all', share: 0.1},
  {kind: 'lose', place: 'all', share: 0.5},
];

/** Compares retry budgets with three attempts at each hop. */
class RetriesBench extends Bench {
  override readonly summary =
    'Runs per call in a brownout, by depth of the chain';

  override run(options: BenchOptions): Promise<object> {
    const depths = numbersOption(options, 'depths', [1, 5, 25]);
    const seed = numberOption(options, 'seed', 1);
    const calls = numberOption(options, 'calls', 20_000);
    const naiveCalls = numberOption(options, 'naive-calls', 200);
    const intervalMs = numberOption(options, 'interval-ms', 1);
    const maxRuns = numberOption(options, 'max-runs', 10_000);
    const rows: Row[] = [];
    for (const depth of depths) {
      for (const {kind, place, share} of BROWNOUTS) {
        for (const handsHeadersOn of [true, false]) {
          const row = {depth, kind, place, failureShare: share, handsHeadersOn};
          const common = {...row, intervalMs, maxRuns, seed};
          const budget = figuresOf({...common, policy: 'budget', calls});
          const naive = figuresOf({
            ...common,
            policy: 'naive',
            calls: naiveCalls,
          });
          const met = budget.mostRunsPerCall <= TARGET_RUNS_PER_CALL;
          rows.push({...row, met, budget, naive});
        }
      }
    }
    const missed = rows.filter(({met}) => !met).length;
    return Promise.resolve({seed, calls, naiveCalls, missed, rows});
  }
}

function figuresOf(run: ChainRun): ChainFigures {
  return new RetryChain(run).run();
}

export const bench: Bench = new RetriesBench();
