/**
 * Distribution of the configuration: publication, certification, versions,
 * deltas, snapshots, push tree and anti-entropy.
 */
export {
  CertificationPolicy,
  WholeSetPolicy,
  WriteAndReferencePolicy,
  WriteSetPolicy,
  type CertificationView,
} from './fold/certification-policy.js';
export {
  emptyConfigState,
  NO_VERSION,
  type ConfigState,
} from './fold/config-state.js';
export {
  foldRecord,
  applyWrites,
  type AcceptedVerdict,
  type FoldStep,
  type RejectedVerdict,
  type RejectionReason,
  type Verdict,
} from './fold/fold-record.js';
export {PersistentMap} from './persistent-map.js';
export {
  buildPublication,
  MAX_PARTS,
  parsePart,
  type Publication,
  type PublicationError,
  type PublicationPart,
} from './publication.js';
export {ConfigAgent, type ConfigAgentOptions} from './agent/config-agent.js';
export type {ConfigEffect} from './agent/effects.js';
export type {ConfigMessage} from './agent/message-checks.js';
export {
  DISTRIBUTION_TIMING,
  type DistributionPreference,
  type DistributionTiming,
} from './agent/preference.js';
export {
  PublishDecision,
  type PublishAction,
  type PublishOutcome,
  type PublishRequest,
} from './publisher/publish-decision.js';
export {publish, type PublishContext} from './publisher/publish.js';
export type {LogCall, LogReply} from './relay/log-call.js';
export {PushTree, PUSH_FANOUT} from './relay/push-tree.js';
export {
  encodeSnapshot,
  SnapshotCollector,
  type DecodedSnapshot,
  type SnapshotHeader,
} from './relay/snapshot-record.js';
export {SnapshotLocator, type LocateResult} from './relay/snapshot-locator.js';
export {
  RELAYS_PER_DATA_CENTRE,
  Topology,
  type ConfigPeer,
} from './relay/topology.js';
export type {ConfigVersion} from './replica/config-version.js';
export type {StartState} from './replica/readiness.js';
