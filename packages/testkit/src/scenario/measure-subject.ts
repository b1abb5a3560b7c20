/** Measures the subjects of `expect` steps. */

import type {RunLedger} from '../backend-server/run-ledger.js';
import type {AuditCounts, CallRecord} from '../caller/caller-audit.js';
import type {ExpectSubject} from './scenario-step.js';

/** Observations since the start of the scenario. */
export interface ScenarioFigures {
  counts: AuditCounts;
  calls: readonly CallRecord[];
  ledger: RunLedger;
  /** How often a node went back to an older configuration version. */
  stepsBack: number;
  /** Offset of the next record in the `config` stream of the log. */
  configRecords: number;
}

/** Returns the current value of `subject`. */
export function measureSubject(
  subject: ExpectSubject,
  {counts, calls, ledger, stepsBack, configRecords}: ScenarioFigures,
): number {
  switch (subject) {
    case 'answered':
      return counts.answered;
    case 'not-run':
      return counts.notRun;
    case 'unknown':
      return counts.unknown;
    case 'mismatched':
      return counts.mismatched;
    case 'repeated':
      return counts.repeated;
    case 'falsely-not-run':
      return counts.falselyNotRun;
    case 'answered-without-run':
      return counts.answeredWithoutRun;
    case 'steps-back':
      return stepsBack;
    case 'config-records':
      return configRecords;
    case 'cancelled-runs':
      return ledger.countEnded('cancelled');
    case 'p99-ms':
      return percentile99(calls);
  }
}

/** Returns the 99th percentile latency of answered calls, in ms. */
function percentile99(calls: readonly CallRecord[]): number {
  const latencies = calls
    .filter(call => call.verdict === 'answered')
    .map(call => call.latencyMs)
    .sort((a, b) => a - b);
  return latencies[Math.floor(latencies.length * 0.99)] ?? 0;
}
