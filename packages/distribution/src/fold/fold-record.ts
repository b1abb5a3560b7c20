/**
 * Certification as a fold over the log. Every reader applies the same rule to
 * the same records in the same order and so reaches the same verdicts, with
 * no coordinator. The cost of a record depends on the record, not on the set.
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
import {rememberId, rememberWrites} from './change-history.js';
import type {ConfigState} from './config-state.js';
import {addPart, expireParts} from './pending-parts.js';
import {checkWrites, indexAfter} from './resource-index.js';

/** Why a publication was not accepted. */
export type RejectionReason =
  /** Something that it writes or refers to changed after its base. */
  | 'conflict'
  /** The set would hold a reference to a missing resource. */
  | 'dangling-reference'
  /** A route would never get a call because of another one. */
  | 'shadowed-route'
  /** A write is malformed, repeated or outside the team's namespace. */
  | 'invalid-write'
  /** The writes are not those that the publisher put in. */
  | 'digest-mismatch'
  /** The base lies after the last accepted version. */
  | 'unknown-base'
  /** The base is so old that changes since it are forgotten. */
  | 'base-too-old'
  /** Its records did not all arrive in time. */
  | 'incomplete';

/** The publication came into force as `version`. */
export interface AcceptedVerdict {
  status: 'accepted';
  id: string;
  team: string;
  /** The version before. */
  from: number;
  version: number;
  /** Digest of the whole set after it. */
  digest: string;
  writes: ResourceWrite[];
}

/** The publication has no effect, now or later. */
export interface RejectedVerdict {
  status: 'rejected';
  id: string;
  team: string;
  reason: RejectionReason;
  /** The resources that the reason is about. */
  keys: ResourceKey[];
}

/** What the fold made of a record. */
export type Verdict =
  | AcceptedVerdict
  | RejectedVerdict
  /** The record is one of several of an incomplete publication. */
  | {status: 'partial'; id: string}
  /** The id was decided on at `firstOffset` already. */
  | {status: 'duplicate'; id: string; firstOffset: number}
  /** The record is no publication, or was folded before. */
  | {status: 'ignored'; reason: 'malformed' | 'already-folded'};

/** A state with the verdict that led to it. */
export interface FoldStep {
  state: ConfigState;
  verdict: Verdict;
  /** Incomplete publications that were given up at this record. */
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
  const {pending, expired} = expireParts(state.pending, offset);
  if (expired.length === 0) return {state, expired: []};
  let {history} = state;
  for (const {id} of expired) history = rememberId(history, id, offset);
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
  const joined = {...state, pending: outcome.pending};
  if (!outcome.whole) {
    return {state: joined, verdict: {status: 'partial', id}};
  }
  const history = rememberId(state.history, id, offset);
  return certify({...joined, history}, outcome.whole, offset, policy);
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
  const malformed = findMalformed(state, publication);
  if (malformed) return rejected(malformed, []);
  const conflicts = policy.findConflicts(publication, state);
  if (conflicts.length > 0) return rejected('conflict', conflicts);
  const resources = applyWrites(state.resources, writes);
  const index = indexAfter(state.index, state.resources, writes);
  const setError = checkWrites(index, resources, writes);
  if (setError) return rejected(setError.reason, setError.keys);
  const digest = digestAfter(state.digest, state.resources, writes);
  const history = rememberWrites(state.history, writes, version);
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

function findMalformed(
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

/** The set after `writes`. */
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
