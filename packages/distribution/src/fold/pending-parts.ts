/**
 * Collects the records of multi-record publications until they are complete.
 * Incomplete publications expire after a number of records. If together they
 * exceed a size limit, the oldest expire too. Both are measured along the log,
 * so that the same publications expire at every reader.
 */

import type {Publication, PublicationPart} from '../publication.js';

/** Number of log records within which a publication has to be complete. */
export const PART_DEADLINE_RECORDS = 1024;

/** Maximum total size of incomplete publications, in characters. */
export const MAX_PENDING_CHARACTERS = 16 * 1024 * 1024;

/** An incomplete publication. */
export interface PendingPublication {
  id: string;
  /** Offset of the first record received. */
  firstOffset: number;
  /** Total size of the records received, in characters. */
  characters: number;
  /** The records received, by part number; null where one is missing. */
  received: readonly (PublicationPart | null)[];
}

/** Incomplete publications, oldest first. */
export type PendingParts = readonly PendingPublication[];

/** The result of adding a record. */
export interface PartOutcome {
  pending: PendingParts;
  /** The publication, if the record completed it. */
  complete?: Publication & {digest: string};
  /** False if the record contradicts or repeats an earlier one. */
  isAdded: boolean;
}

/** Adds one record of a publication; a single-record one completes at once. */
export function addPart(
  pending: PendingParts,
  part: PublicationPart,
  offset: number,
  characters: number,
): PartOutcome {
  const existing = pending.find(entry => entry.id === part.id);
  const entry = existing ?? createEntry(part, offset);
  if (!isConsistent(entry, part)) return {pending, isAdded: false};
  const received = entry.received.with(part.part, part);
  const otherEntries = pending.filter(other => other !== existing);
  const parts = received.filter(item => item !== null);
  if (parts.length === received.length) {
    return {pending: otherEntries, complete: joinParts(parts), isAdded: true};
  }
  const totalCharacters = entry.characters + characters;
  const updated = {...entry, received, characters: totalCharacters};
  const kept = [...otherEntries, updated].sort(
    (a, b) => a.firstOffset - b.firstOffset,
  );
  return {pending: kept, isAdded: true};
}

/** Separates the publications that expire at `offset` from the others. */
export function expirePending(
  pending: PendingParts,
  offset: number,
): {pending: PendingParts; expired: PendingParts} {
  let remaining = MAX_PENDING_CHARACTERS;
  const expired = new Set<PendingPublication>();
  for (const entry of [...pending].reverse()) {
    remaining -= entry.characters;
    const isLate = offset - entry.firstOffset > PART_DEADLINE_RECORDS;
    if (isLate || remaining < 0) expired.add(entry);
  }
  if (expired.size === 0) return {pending, expired: []};
  return {
    pending: pending.filter(entry => !expired.has(entry)),
    expired: [...expired],
  };
}

function createEntry(
  part: PublicationPart,
  offset: number,
): PendingPublication {
  return {
    id: part.id,
    firstOffset: offset,
    characters: 0,
    received: new Array<null>(part.parts).fill(null),
  };
}

function isConsistent(
  entry: PendingPublication,
  part: PublicationPart,
): boolean {
  const first = entry.received.find(item => item !== null);
  if (!first) return true;
  return (
    entry.received[part.part] === null &&
    first.parts === part.parts &&
    first.team === part.team &&
    first.base === part.base &&
    first.digest === part.digest
  );
}

function joinParts(
  parts: readonly PublicationPart[],
): Publication & {digest: string} {
  const first = parts[0] as PublicationPart;
  return {...first, writes: parts.flatMap(part => part.writes)};
}
