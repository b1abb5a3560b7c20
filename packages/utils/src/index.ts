/**
 * General utilities: results, clocks, timers, randomness, hashing, findings,
 * JSON validation, histograms, caches and state charts.
 */
export {boundedCache, type BoundedCache} from './bounded-cache.js';
export {ByteBudget} from './byte-budget.js';
export {ManualClock, SystemClock, type Clock} from './clock.js';
export {DeadlineTimer} from './deadline-timer.js';
export {
  compareFindings,
  formatFinding,
  type Finding,
  type Place,
} from './finding.js';
export {LatencyHistograms, type LatencySummary} from './histogram.js';
export {JsonDocument, type JsonPath} from './json-document.js';
export {ProgressClock} from './progress-clock.js';
export {RandomSource, SeededRandom, SystemRandom} from './random.js';
export {hash32, rendezvousTop} from './rendezvous.js';
export {Err, Ok, type Result} from './result.js';
export {SchemaCheck} from './schema-check.js';
export {
  readChart,
  StateChart,
  type ChartEvent,
  type ChartGuard,
} from './state-chart.js';
export {sleep, blockEventLoop, waitEventLoopTurns} from './sleep.js';
export {isIpAddress, isPort} from './network-address.js';
export {suggestName} from './suggestion.js';
