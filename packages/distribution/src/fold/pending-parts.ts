/**
 * Publications of several records, until they are whole. Incomplete ones are
 * given up after a number of records or when they take too much room, both
 * counted along the log, so that every reader gives up the same ones.
 */

import type {Publication, PublicationPart} from '../publication.js';

/** A publication has to be whole within so many records of the log. */
export const PART_DEADLINE_RECORDS = 1024;

/** Most text of incomplete publications that is kept, in characters. */
export const MAX_PENDING_CHARACTERS = 16 * 1024 * 1024;

/** An incomplete publication. */
export interface PendingPublication {
  id: string;
  /** Offset of the first record seen. */
  firstOffset: number;
  /** Characters of the records seen. */
  characters: number;
  /** The records seen, by their number. */
  received: readonly (PublicationPart | null)[];
}

/** Incomplete publications, the oldest first. */
export type PendingParts = readonly PendingPublication[];

/** What became of a record. */
export interface PartOutcome {
  pending: PendingParts;
  /** Present when the record made its publication whole. */
  whole?: Publication & {digest: string};
  /** False when the record contradicts or repeats an earlier one. */
  taken: boolean;
}

/** Adds one record of a publication that takes several. */
export function addPart(
  pending: PendingParts,
  part: PublicationPart,
  offset: number,
  characters: number,
): PartOutcome {
  const known = pending.find(entry => entry.id === part.id);
  const entry = known ?? startEntry(part, offset);
  if (!fits(entry, part)) return {pending, taken: false};
  const received = entry.received.with(part.part, part);
  const others = pending.filter(other => other !== known);
  const parts = received.filter(item => item !== null);
  if (parts.length === received.length) {
    return {pending: others, whole: joinParts(parts), taken: true};
  }
  const grown = entry.characters + characters;
  const updated = {...entry, received, characters: grown};
  const kept = [...others, updated].sort(
    (a, b) => a.firstOffset - b.firstOffset,
  );
  return {pending: kept, taken: true};
}

/** Splits off the publications that are given up at `offset`. */
export function expireParts(
  pending: PendingParts,
  offset: number,
): {pending: PendingParts; expired: PendingParts} {
  let room = MAX_PENDING_CHARACTERS;
  const expired = new Set<PendingPublication>();
  for (const entry of [...pending].reverse()) {
    room -= entry.characters;
    const late = offset - entry.firstOffset > PART_DEADLINE_RECORDS;
    if (late || room < 0) expired.add(entry);
  }
  if (expired.size === 0) return {pending, expired: []};
  return {
    pending: pending.filter(entry => !expired.has(entry)),
    expired: [...expired],
  };
}

function startEntry(part: PublicationPart, offset: number): PendingPublication {
  return {
    id: part.id,
    firstOffset: offset,
    characters: 0,
    received: new Array<null>(part.parts).fill(null),
  };
}

function fits(entry: PendingPublication, part: PublicationPart): boolean {
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
