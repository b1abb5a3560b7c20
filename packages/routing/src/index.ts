/**
 * Route matching, load balancing, admission control, retries, at-most-once
 * execution, quarantine and prepaid balances.
 */
export {
  type ServerOutcome,
  type ServerSample,
} from './admission/adaptive-limit.js';
export {
  Admission,
  type AdmissionBounds,
  type AdmissionEffect,
  type LoadTraits,
} from './admission/admission.js';
export {AnswerLink, ReturnForecast} from './admission/return-forecast.js';
export {ServiceTimes} from './admission/service-times.js';
export {
  SlotQueue,
  type ServerStartTerms,
  type QueuedCall,
  type SlotEffect,
  type SlotRefusal,
} from './admission/slot-queue.js';
export {StartPace, type PacedAnswer} from './admission/start-pace.js';
export {type AdmissionCall} from './admission/call-lane.js';
export {
  Balancer,
  candidateKey,
  readyCandidates,
  type CallOutcome,
  type CallResult,
  type CallTraits,
  type Candidate,
} from './balancing/balancer.js';
export {
  LeastExpectedCostBalancer,
  slowStartShare,
} from './balancing/least-expected-cost.js';
export {LeastInFlightBalancer} from './balancing/least-in-flight.js';
export {RecentRefusals, type CallOffer} from './balancing/recent-refusals.js';
export {RoundRobinBalancer} from './balancing/round-robin.js';
export {ElapsedTimeEstimator} from './calls/elapsed-time.js';
export {
  DEADLINE_HEADER,
  formatLimits,
  HOPS_HEADER,
  MAX_HOPS,
  readLimits,
  type CallLimits,
  type DeadlineError,
  type DeadlineErrorKind,
  type LimitHeaders,
} from './calls/deadline.js';
export {
  offerStages,
  type OfferStage,
  type OfferStages,
  type OfferTerms,
} from './calls/offer-stages.js';
export {
  buildOffer,
  selectEligibleCandidates,
  type OfferState,
} from './calls/eligible-candidates.js';
export {RetryBudget} from './calls/retry-budget.js';
export {RetryWindow, type RetryAllowance} from './calls/retry-window.js';
export {retryAfterMs} from './calls/retry-after.js';
export {
  decideRetry,
  MAX_ATTEMPTS,
  OUTCOME_HEADER,
  RETRY_HEADER,
  type FailedAttempt,
  type NoRetryReason,
  type RetryDecision,
} from './calls/retry.js';
export {
  Heartbeat,
  type HeartbeatEffect,
  type HeartbeatState,
  type HeartbeatTimes,
} from './connections/heartbeat.js';
export {LinkPace} from './connections/link-pace.js';
export {RoundTripEstimator} from './connections/round-trip.js';
export {TransitDelay} from './connections/transit-delay.js';
export {
  CrashLedger,
  MAX_REPORTED_FINGERPRINTS,
  type QuarantineStatus,
} from './quarantine/crash-ledger.js';
export {CrashDetector} from './quarantine/crash-detector.js';
export {
  fingerprint,
  FINGERPRINT_BODY_BYTES,
  type FingerprintParts,
} from './quarantine/fingerprint.js';
export {
  admitTenant,
  type TenantDemand,
  type TenantVerdict,
} from './tenants/admit-tenant.js';
export {ConfigFreshness} from './tenants/config-freshness.js';
export {combinedRank} from './tenants/combined-rank.js';
export {TenantKeys} from './tenants/tenant-keys.js';
export {PrefixRoutes} from './routes/prefix-routes.js';
export {SplitRotation} from './routes/split-rotation.js';
export {groupKey, type MatchedRoute} from './routes/matched-route.js';
export {
  RoutingTable,
  type MatchHeaders,
  type MatchRequest,
} from './routes/routing-table.js';
export * from './balances/index.js';
export * from './claims/index.js';
export * from './quota/index.js';
export * from './rollout/index.js';
