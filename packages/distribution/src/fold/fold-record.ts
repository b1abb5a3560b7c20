/**
 * Certification as a fold over the log. Every reader applies the same rules to
 * the same records in the same order, so all reach the same verdicts without a
 * coordinator. The cost of folding a record depends on the record, not on the
 * whole set of resources.
 */

import {digestAfter, isWriteOf, writesDigest} from '@turmericmill/config';
import type {Resource, ResourceKey, ResourceWrite} from '@turmericmill/config';
import type {LogRecord} from '@turmericmill/platform';

import type {PersistentMap} from '../persistent-map.js';
import {parsePart} from '../publication.js';
import type {Publication} from '../publication.js';
import {
  WriteAndReferencePolicy,
  type CertificationPolicy,
} from './certification-policy.js';
import {addDecision, addWrites} from './change-history.js';
import type {ConfigState} from './config-state.js';
import {addPart, expirePending} from './pending-parts.js';
import {checkWrites, updateIndex} from './resource-index.js';

/** Why a publication was not accepted. */
export type RejectionReason =
  /** A resource that it writes or refers to changed after its base. */
  | 'conflict'
  /** The resulting set would contain a reference to a missing resource. */
  | 'dangling-reference'
  /** A route would match no call because another route shadows it. */
  | 'shadowed-route'
  /** A write is malformed, repeated or outside the team's namespace. */
  | 'invalid-write'
  /** The writes do not match the digest computed by the publisher. */
  | 'digest-mismatch'
  /** The base is above the last accepted version. */
  | 'unknown-base'
  /** The base is below the horizon: changes since it are no longer known. */
  | 'base-too-old'
  /** Its records did not all arrive in time. */
  | 'incomplete';

/** The publication came into force as `version`. */
export interface AcceptedVerdict {
  status: 'accepted';
  id: string;
  team: string;
  /** The previous version. */
  from: number;
  version: number;
  /** Digest of the resulting set of resources. */
  digest: string;
  writes: ResourceWrite[];
}

/** The publication has no effect, now or later. */
export interface RejectedVerdict {
  status: 'rejected';
  id: string;
  team: string;
  reason: RejectionReason;
  /** The resources that the reason applies to. */
  keys: ResourceKey[];
}

/** The result of folding one record. */
export type Verdict =
  | AcceptedVerdict
  | RejectedVerdict
  /** The record belongs to a publication that is still incomplete. */
  | {status: 'partial'; id: string}
  /** The publication with this id was already decided at `firstOffset`. */
  | {status: 'duplicate'; id: string; firstOffset: number}
  /** The record is not a well-formed publication, or was folded before. */
  | {status: 'ignored'; reason: 'malformed' | 'already-folded'};

/** The state after a record, with the verdict on the record. */
export interface FoldStep {
  state: ConfigState;
  verdict: Verdict;
  /** Ids of incomplete publications that expired at this record. */
  expired: string[];
}

const DEFAULT_POLICY = new WriteAndReferencePolicy();

/** Folds the next record of the configuration stream. */
export function foldRecord(
  state: ConfigState,
  record: LogRecord,
  policy: CertificationPolicy = DEFAULT_POLICY,
): FoldStep {
  if (record.offset < state.nextOffset) {
    const verdict: Verdict = {status: 'ignored', reason: 'already-folded'};
    return {state, verdict, expired: []};
  }
  const advanced = expire({...state, nextOffset: record.offset + 1}, record);
  const expired = advanced.expired;
  return {...decide(advanced.state, record, policy), expired};
}

function expire(
  state: ConfigState,
  {offset}: LogRecord,
): {state: ConfigState; expired: string[]} {
  const {pending, expired} = expirePending(state.pending, offset);
  if (expired.length === 0) return {state, expired: []};
  let {history} = state;
  for (const {id} of expired) history = addDecision(history, id, offset);
  return {
    state: {...state, pending, history},
    expired: expired.map(entry => entry.id),
  };
}

function decide(
  state: ConfigState,
  {offset, body}: LogRecord,
  policy: CertificationPolicy,
): {state: ConfigState; verdict: Verdict} {
  const part = parsePart(body);
  if (!part) {
    return {state, verdict: {status: 'ignored', reason: 'malformed'}};
  }
  const {id} = part;
  const firstOffset = state.history.offsetById.get(id);
  if (firstOffset !== undefined) {
    return {state, verdict: {status: 'duplicate', id, firstOffset}};
  }
  const outcome = addPart(state.pending, part, offset, body.length);
  const updated = {...state, pending: outcome.pending};
  if (!outcome.complete) {
    return {state: updated, verdict: {status: 'partial', id}};
  }
  const history = addDecision(state.history, id, offset);
  return certify({...updated, history}, outcome.complete, offset, policy);
}

function certify(
  state: ConfigState,
  publication: Publication & {digest: string},
  version: number,
  policy: CertificationPolicy,
): {state: ConfigState; verdict: Verdict} {
  const {id, team, writes} = publication;
  const rejected = (reason: RejectionReason, keys: ResourceKey[]) => {
    const verdict: Verdict = {status: 'rejected', id, team, reason, keys};
    return {state, verdict};
  };
  const reason = validatePublication(state, publication);
  if (reason) return rejected(reason, []);
  const conflicts = policy.findConflicts(publication, state);
  if (conflicts.length > 0) return rejected('conflict', conflicts);
  const resources = applyWrites(state.resources, writes);
  const index = updateIndex(state.index, state.resources, writes);
  const setError = checkWrites(index, resources, writes);
  if (setError) return rejected(setError.reason, setError.keys);
  const digest = digestAfter(state.digest, state.resources, writes);
  const history = addWrites(state.history, writes, version);
  const accepted = {...state, version, resources, index, digest, history};
  const verdict: Verdict = {
    status: 'accepted',
    id,
    team,
    from: state.version,
    version,
    digest,
    writes,
  };
  return {state: accepted, verdict};
}

function validatePublication(
  state: ConfigState,
  {team, base, writes, digest}: Publication & {digest: string},
): RejectionReason | undefined {
  if (!writes.every(write => isWriteOf(team, write))) return 'invalid-write';
  const keys = new Set(writes.map(write => write.key));
  if (keys.size !== writes.length || keys.size === 0) return 'invalid-write';
  if (writesDigest(writes) !== digest) return 'digest-mismatch';
  if (base > state.version) return 'unknown-base';
  if (base < state.history.horizon) return 'base-too-old';
  return undefined;
}

/** Returns the set of resources after `writes`. */
export function applyWrites(
  resources: PersistentMap<ResourceKey, Resource>,
  writes: readonly ResourceWrite[],
): PersistentMap<ResourceKey, Resource> {
  let result = resources;
  for (const {key, resource} of writes) {
    result = resource ? result.set(key, resource) : result.delete(key);
  }
  return result;
}
