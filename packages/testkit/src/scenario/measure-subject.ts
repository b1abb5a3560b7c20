/** The figures that scenarios can expect something of. */

import type {RunLedger} from '../backend-server/run-ledger.js';
import type {AuditCounts, CallRecord} from '../caller/caller-audit.js';
import type {ExpectSubject} from './scenario-step.js';

/** What has been seen since the start of the scenario. */
export interface ScenarioFigures {
  counts: AuditCounts;
  calls: readonly CallRecord[];
  ledger: RunLedger;
  stepsBack: number;
  configRecords: number;
}

/** The figure named by `subject`. */
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

function percentile99(calls: readonly CallRecord[]): number {
  const latencies = calls
    .filter(call => call.verdict === 'answered')
    .map(call => call.latencyMs)
    .sort((a, b) => a - b);
  return latencies[Math.floor(latencies.length * 0.99)] ?? 0;
}
