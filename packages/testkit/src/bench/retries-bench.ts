/** Runs at backend servers for each caller's call in a brown-out. */

import {
  Bench,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {
  RetryChain,
  type BrownOutKind,
  type BrownOutPlace,
  type ChainFigures,
  type ChainRun,
} from './retry-chain.js';

/** Most runs for each caller's call that are acceptable. */
const TARGET_RUNS = 1.1;

interface Row {
  depth: number;
  kind: BrownOutKind;
  place: BrownOutPlace;
  failureShare: number;
  handsHeadersOn: boolean;
  met: boolean;
  budget: ChainFigures;
  naive: ChainFigures;
}

const BROWN_OUTS: {kind: BrownOutKind; place: BrownOutPlace; share: number}[] =
  [
    {kind: 'refuse', place: 'deepest', share: 0.5},
    {kind: 'lose', place: 'deepest', share: 0.5},
    {kind: 'refuse', place: 'all', share: 0.1},
    {kind: 'lose', place: 'all', share: 0.1},
    {kind: 'lose', place: 'all', share: 0.5},
  ];

/** Retry budgets against three attempts at each hop. */
class RetriesBench extends Bench {
  override readonly summary = 'Runs for each call in a brown-out, by depth';

  override run(options: BenchOptions): Promise<object> {
    const depths = numbersOption(options, 'depths', [1, 5, 25]);
    const seed = numberOption(options, 'seed', 1);
    const calls = numberOption(options, 'calls', 20_000);
    const naiveCalls = numberOption(options, 'naive-calls', 200);
    const intervalMs = numberOption(options, 'interval-ms', 1);
    const maxRuns = numberOption(options, 'max-runs', 10_000);
    const rows: Row[] = [];
    for (const depth of depths) {
      for (const {kind, place, share} of BROWN_OUTS) {
        for (const handsHeadersOn of [true, false]) {
          const row = {depth, kind, place, failureShare: share, handsHeadersOn};
          const common = {...row, intervalMs, maxRuns, seed};
          const budget = figures({...common, policy: 'budget', calls});
          const naive = figures({
            ...common,
            policy: 'naive',
            calls: naiveCalls,
          });
          const met = budget.mostRunsPerCall <= TARGET_RUNS;
          rows.push({...row, met, budget, naive});
        }
      }
    }
    const missed = rows.filter(({met}) => !met).length;
    return Promise.resolve({seed, calls, naiveCalls, missed, rows});
  }
}

function figures(run: ChainRun): ChainFigures {
  return new RetryChain(run).run();
}

export const bench: Bench = new RetriesBench();
