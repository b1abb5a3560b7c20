/** Publication, certification, versions, deltas, snapshots, push tree, anti-entropy. */
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
  withWrites,
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
