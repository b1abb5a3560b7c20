/**
 * A node's view of the members of its own region. Merging updates in any order
 * gives the same result: the newest incarnation takes precedence, and within it
 * the most advanced status and the highest revision.
 */

import {hash32} from '@turmericmill/utils';
import type {MemberRecord, MemberStatus} from '@turmericmill/wire';

import {FlapPenalty} from './flap-penalty.js';
import {statusAfterNewIncarnation, statusAfterUpdate} from './member-status.js';

/**
 * Time in ms for which the tombstones of dead and departed members are kept. It
 * is longer than a network partition between regions or data centres, so that
 * stale updates do not revive a member.
 */
export const TOMBSTONE_RETENTION_MS = 2 * 60 * 60 * 1000;

/**
 * Increase of the incarnation above which a member has restarted: a start sets
 * it to the time in ms, a refutation increments it.
 */
const RESTART_STEP_MS = 1_000;

/** A member, with attributes that are local to this node. */
export interface MemberEntry {
  record: MemberRecord;
  /** Position in the ring: the hash of the id. */
  position: number;
  /** Time in ms at which the entry of a dead or departed member expires. */
  expiresAtMs: number;
  penalty: FlapPenalty;
}

/** The changes made by a merge. */
export interface MergeOutcome {
  entry: MemberEntry;
  /** Status before the merge; undefined for a new member. */
  previousStatus: MemberStatus | undefined;
  statusChanged: boolean;
  detailsChanged: boolean;
  /** The member that owned this one's endpoint before. */
  previousOwner?: MemberEntry | undefined;
}

export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();
  private readonly idsByEndpoint = new Map<string, string>();

  get(id: string): MemberEntry | undefined {
    return this.entries.get(id);
  }

  all(): IterableIterator<MemberEntry> {
    return this.entries.values();
  }

  /** Members that are alive or suspected. */
  *present(): IterableIterator<MemberEntry> {
    for (const entry of this.entries.values()) {
      if (isPresent(entry.record.status)) yield entry;
    }
  }

  /** Merges a whole record; undefined when nothing changed. */
  mergeRecord(record: MemberRecord, nowMs: number): MergeOutcome | undefined {
    const existing = this.entries.get(record.id);
    if (!existing) return this.insert(record, nowMs);
    if (record.incarnation < existing.record.incarnation) return undefined;
    if (record.incarnation === existing.record.incarnation) {
      return this.mergeSameIncarnation(existing, record, nowMs);
    }
    const previousStatus = existing.record.status;
    const status = statusAfterNewIncarnation(previousStatus, record.status);
    if (hasReturned(existing.record, record)) existing.penalty.add(nowMs);
    this.releaseEndpoint(existing.record);
    const previousOwner = this.findPreviousOwner(record);
    this.setRecord(existing, {...record, status}, nowMs);
    return {
      entry: existing,
      previousStatus,
      statusChanged: true,
      detailsChanged: true,
      previousOwner,
    };
  }

  /** Merges a status; undefined when nothing changed. */
  mergeStatus(
    id: string,
    incarnation: number,
    incoming: MemberStatus,
    nowMs: number,
  ): MergeOutcome | undefined {
    const entry = this.entries.get(id);
    if (!entry || incarnation < entry.record.incarnation) return undefined;
    const previousStatus = entry.record.status;
    const status =
      incarnation === entry.record.incarnation
        ? statusAfterUpdate(previousStatus, incoming)
        : statusAfterNewIncarnation(previousStatus, incoming);
    if (status === previousStatus && incarnation === entry.record.incarnation) {
      return undefined;
    }
    this.setRecord(entry, {...entry.record, incarnation, status}, nowMs);
    return {entry, previousStatus, statusChanged: true, detailsChanged: false};
  }

  /** Removes expired entries; returns their number. */
  removeExpired(nowMs: number): number {
    let removed = 0;
    for (const [id, entry] of this.entries) {
      if (isPresent(entry.record.status) || nowMs < entry.expiresAtMs) continue;
      this.entries.delete(id);
      this.releaseEndpoint(entry.record);
      removed += 1;
    }
    return removed;
  }

  private insert(
    record: MemberRecord,
    nowMs: number,
  ): MergeOutcome | undefined {
    if (!isPresent(record.status)) return undefined;
    const entry: MemberEntry = {
      record,
      position: hash32(record.id),
      expiresAtMs: 0,
      penalty: new FlapPenalty(),
    };
    this.entries.set(record.id, entry);
    const previousOwner = this.findPreviousOwner(record);
    this.setRecord(entry, record, nowMs);
    return {
      entry,
      previousStatus: undefined,
      statusChanged: true,
      detailsChanged: true,
      previousOwner,
    };
  }

  private mergeSameIncarnation(
    entry: MemberEntry,
    incoming: MemberRecord,
    nowMs: number,
  ): MergeOutcome | undefined {
    const current = entry.record;
    const previousStatus = current.status;
    const status = statusAfterUpdate(previousStatus, incoming.status);
    const isNewer = incoming.revision > current.revision;
    if (status === previousStatus && !isNewer) return undefined;
    const details = isNewer ? incoming : current;
    this.setRecord(entry, {...details, status}, nowMs);
    return {
      entry,
      previousStatus,
      statusChanged: status !== previousStatus,
      detailsChanged: isNewer,
    };
  }

  private setRecord(
    entry: MemberEntry,
    record: MemberRecord,
    nowMs: number,
  ): void {
    entry.record = record;
    if (isPresent(record.status)) {
      this.idsByEndpoint.set(endpointKey(record), record.id);
    } else {
      entry.expiresAtMs = nowMs + TOMBSTONE_RETENTION_MS;
    }
  }

  private findPreviousOwner(record: MemberRecord): MemberEntry | undefined {
    const id = this.idsByEndpoint.get(endpointKey(record));
    if (id === undefined || id === record.id) return undefined;
    return this.entries.get(id);
  }

  private releaseEndpoint(record: MemberRecord): void {
    const key = endpointKey(record);
    if (this.idsByEndpoint.get(key) === record.id) {
      this.idsByEndpoint.delete(key);
    }
  }
}

/** True for members that are alive or suspected. */
export function isPresent(status: MemberStatus): boolean {
  return status === 'alive' || status === 'suspect';
}

/** True when a member is present again after death, departure or a restart. */
function hasReturned(existing: MemberRecord, incoming: MemberRecord): boolean {
  if (!isPresent(incoming.status)) return false;
  if (!isPresent(existing.status)) return true;
  return incoming.incarnation - existing.incarnation > RESTART_STEP_MS;
}

function endpointKey(record: MemberRecord): string {
  return `${record.address}:${record.port}`;
}
