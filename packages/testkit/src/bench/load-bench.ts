/** Load at its worst, by the decision code itself, against modelled servers. */

import {Bench, numberOption, type BenchOptions} from './bench.js';
import type {LoadFigures} from './load/load-figures.js';
import {LoadModel} from './load/load-model.js';
import {LOAD_PATTERNS} from './load/load-pattern.js';

const SEEDS = 3;

class LoadBench extends Bench {
  override readonly summary =
    'how work waits, is refused and is placed: --seed N --pattern NAME';

  override run(options: BenchOptions): Promise<object> {
    const first = numberOption(options, 'seed', 1);
    const {pattern: wanted} = options;
    const patterns = LOAD_PATTERNS.filter(
      ({name}) => wanted === undefined || name === wanted,
    );
    if (patterns.length === 0) throw new Error(`No pattern ${wanted ?? ''}.`);
    const rows: Record<string, LoadFigures[]> = {};
    for (const pattern of patterns) {
      rows[pattern.name] = Array.from({length: SEEDS}, (unused, index) =>
        new LoadModel(pattern, first + index).run(),
      );
    }
    return Promise.resolve(rows);
  }
}

export const bench: Bench = new LoadBench();
