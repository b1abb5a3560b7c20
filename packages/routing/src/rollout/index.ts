/** Decisions of roll-outs of a new server version. */
export {type LatencyCounts} from './latency-counts.js';
export {
  CLOSING_EVIDENCE_INTERVAL_MS,
  COLD_MS,
  emptyCounts,
  EVIDENCE_INTERVAL_MS,
  EvidenceLedger,
  EvidenceRecorder,
  mergeCounts,
  type EvidenceOutcome,
  type EvidenceSlice,
  type NodeEvidence,
  type RequestTotals,
  type VersionCounts,
  type VersionEvidence,
  type VersionSide,
} from './version-evidence.js';
export {judgeVersion, type Judgement, type Verdict} from './version-judge.js';
export {
  exposureLeft,
  planRollout,
  trialServers,
  trialShare,
  type PlanTerms,
  type RolloutBounds,
  type RolloutPlan,
  type TrialUsage,
} from './rollout-plan.js';
export {newCourse, reduceRollout, type RolloutStep} from './rollout-state.js';
export {
  type RolloutCourse,
  type RolloutEffect,
  type RolloutInput,
  type RolloutOrder,
  type RolloutPhase,
  type RolloutRecord,
  type RolloutServers,
  type RolloutState,
  type RolloutStatus,
  type RolloutTerms,
  type WriteOutcome,
} from './rollout-types.js';
export {
  mayHaveMissedClosing,
  mayTakeCalls,
  serverGroups,
  sideOf,
  STATE_LIFETIME_MS,
  trafficRule,
  VersionRotation,
  type KnownRollout,
  type ServerSide,
  type TrafficRule,
} from './version-rule.js';
