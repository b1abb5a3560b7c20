/**
 * The members of a node's own region as that node knows them. Word of members
 * is merged in any order to the same result: the newest incarnation counts,
 * within it the furthest status and the highest revision.
 */

import {hash32} from '@turmericmill/utils';
import type {MemberRecord, MemberStatus} from '@turmericmill/wire';

import {FlapPenalty} from './flap-penalty.js';
import {statusAfterNewIncarnation, statusAfterWord} from './member-status.js';

/**
 * Time in ms for which dead and departed members are remembered. It outlasts a
 * split of regions or data centres, so that old word revives nobody.
 */
export const TOMBSTONE_RETENTION_MS = 2 * 60 * 60 * 1000;

/**
 * A refutation adds one to an incarnation, a start sets it to the time in ms:
 * a larger step than this is a start.
 */
const RESTART_STEP_MS = 1_000;

/** A member and what only this node notes about it. */
export interface MemberEntry {
  record: MemberRecord;
  /** Hash of the id: position in the ring. */
  position: number;
  /** Time in ms at which a dead or departed member is forgotten. */
  forgetAtMs: number;
  penalty: FlapPenalty;
}

/** What a merge changed. */
export interface MergeOutcome {
  entry: MemberEntry;
  /** Status before; undefined for a member that was not known. */
  before: MemberStatus | undefined;
  statusChanged: boolean;
  detailsChanged: boolean;
  /** The member that had this one's endpoint until now. */
  formerHolder?: MemberEntry | undefined;
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

  /** Merges a whole record; undefined when it says nothing new. */
  mergeRecord(record: MemberRecord, nowMs: number): MergeOutcome | undefined {
    const known = this.entries.get(record.id);
    if (!known) return this.insert(record, nowMs);
    if (record.incarnation < known.record.incarnation) return undefined;
    if (record.incarnation === known.record.incarnation) {
      return this.mergeSameIncarnation(known, record, nowMs);
    }
    const before = known.record.status;
    const status = statusAfterNewIncarnation(before, record.status);
    if (isReturn(known.record, record)) known.penalty.add(nowMs);
    this.releaseEndpoint(known.record);
    const formerHolder = this.holderBefore(record);
    this.setRecord(known, {...record, status}, nowMs);
    return {
      entry: known,
      before,
      statusChanged: true,
      detailsChanged: true,
      formerHolder,
    };
  }

  /** Merges word of a status; undefined when it says nothing new. */
  mergeStatus(
    id: string,
    incarnation: number,
    incoming: MemberStatus,
    nowMs: number,
  ): MergeOutcome | undefined {
    const entry = this.entries.get(id);
    if (!entry || incarnation < entry.record.incarnation) return undefined;
    const before = entry.record.status;
    const status =
      incarnation === entry.record.incarnation
        ? statusAfterWord(before, incoming)
        : statusAfterNewIncarnation(before, incoming);
    if (status === before && incarnation === entry.record.incarnation) {
      return undefined;
    }
    this.setRecord(entry, {...entry.record, incarnation, status}, nowMs);
    return {entry, before, statusChanged: true, detailsChanged: false};
  }

  /** Forgets members whose time has come; returns how many. */
  forgetExpired(nowMs: number): number {
    let forgotten = 0;
    for (const [id, entry] of this.entries) {
      if (isPresent(entry.record.status) || nowMs < entry.forgetAtMs) continue;
      this.entries.delete(id);
      this.releaseEndpoint(entry.record);
      forgotten += 1;
    }
    return forgotten;
  }

  private insert(
    record: MemberRecord,
    nowMs: number,
  ): MergeOutcome | undefined {
    if (!isPresent(record.status)) return undefined;
    const entry: MemberEntry = {
      record,
      position: hash32(record.id),
      forgetAtMs: 0,
      penalty: new FlapPenalty(),
    };
    this.entries.set(record.id, entry);
    const formerHolder = this.holderBefore(record);
    this.setRecord(entry, record, nowMs);
    return {
      entry,
      before: undefined,
      statusChanged: true,
      detailsChanged: true,
      formerHolder,
    };
  }

  private mergeSameIncarnation(
    entry: MemberEntry,
    incoming: MemberRecord,
    nowMs: number,
  ): MergeOutcome | undefined {
    const current = entry.record;
    const before = current.status;
    const status = statusAfterWord(before, incoming.status);
    const newer = incoming.revision > current.revision;
    if (status === before && !newer) return undefined;
    const details = newer ? incoming : current;
    this.setRecord(entry, {...details, status}, nowMs);
    return {
      entry,
      before,
      statusChanged: status !== before,
      detailsChanged: newer,
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
      entry.forgetAtMs = nowMs + TOMBSTONE_RETENTION_MS;
    }
  }

  private holderBefore(record: MemberRecord): MemberEntry | undefined {
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

/** True for members that may still be there. */
export function isPresent(status: MemberStatus): boolean {
  return status === 'alive' || status === 'suspect';
}

/** True when a member comes back, be it from death or from a restart. */
function isReturn(known: MemberRecord, incoming: MemberRecord): boolean {
  if (!isPresent(incoming.status)) return false;
  if (!isPresent(known.status)) return true;
  return incoming.incarnation - known.incarnation > RESTART_STEP_MS;
}

function endpointKey(record: MemberRecord): string {
  return `${record.address}:${record.port}`;
}
