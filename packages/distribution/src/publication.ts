/**
 * Publications: the change of one team's namespace as one or more records of
 * the log.
 */

import {writesDigest} from '@turmericmill/config';
import type {ResourceWrite} from '@turmericmill/config';
import {MAX_RECORD_BYTES} from '@turmericmill/platform';
import {Err, Ok, type Result} from '@turmericmill/utils';

/** The form of the records. A fold ignores records of another form. */
export const PUBLICATION_FORMAT = 'turmericmill-publication-1';

/** Most records that one publication may take. */
export const MAX_PARTS = 32;

/** What an operator asks for. */
export interface Publication {
  /** Unique; a second publication of the same id is ignored. */
  id: string;
  team: string;
  author: string;
  /** The version that the writes were computed against; -1 for none. */
  base: number;
  /** At most one for each key, all of them in the team's namespace. */
  writes: ResourceWrite[];
  /** A note for the history. */
  message?: string;
}

/** One record of a publication. */
export interface PublicationPart extends Publication {
  format: typeof PUBLICATION_FORMAT;
  /** Counts from 0. */
  part: number;
  parts: number;
  /**
   * Digest of the writes of all parts. It shows that the parts are complete.
   * It is no digest of the resulting set: other teams' publications may come
   * in between, so that only the fold knows the result.
   */
  digest: string;
}

/** Why a publication cannot be written as records. */
export type PublicationErrorCode =
  | 'empty'
  /** One resource is larger than a record. */
  | 'resource-too-large'
  /** More than `MAX_PARTS` records would be needed. */
  | 'publication-too-large';

export interface PublicationError {
  code: PublicationErrorCode;
  message: string;
}

/** The bodies of the records to append, in order. */
export function buildPublication(
  publication: Publication,
): Result<string[], PublicationError> {
  const {writes} = publication;
  if (writes.length === 0) {
    return Err({code: 'empty', message: 'The publication changes nothing.'});
  }
  const room = MAX_RECORD_BYTES - envelopeBytes(publication);
  const groups = groupBySize(writes, room);
  if (groups.isErr()) return groups;
  const parts = groups.value.length;
  if (parts > MAX_PARTS) {
    const message = `The publication takes ${parts} records of ${MAX_PARTS}.`;
    return Err({code: 'publication-too-large', message});
  }
  const digest = writesDigest(writes);
  const bodies = groups.value.map((group, part) =>
    JSON.stringify(toPart(publication, group, part, parts, digest)),
  );
  return Ok(bodies);
}

/** Reads a record. Undefined when it is no well-formed publication. */
export function parsePart(body: string): PublicationPart | undefined {
  let value: Partial<PublicationPart> | null;
  try {
    value = JSON.parse(body) as Partial<PublicationPart> | null;
  } catch {
    return undefined;
  }
  return isPart(value) ? value : undefined;
}

function isPart(
  value: Partial<PublicationPart> | null,
): value is PublicationPart {
  if (typeof value !== 'object' || value === null) return false;
  const {part, parts, base} = value;
  return (
    value.format === PUBLICATION_FORMAT &&
    [value.id, value.team, value.author, value.digest].every(isShortText) &&
    isCount(base, -1) &&
    isCount(parts, 1) &&
    parts <= MAX_PARTS &&
    isCount(part, 0) &&
    part < parts &&
    Array.isArray(value.writes)
  );
}

function isCount(value: unknown, least: number): value is number {
  return Number.isSafeInteger(value) && (value as number) >= least;
}

function isShortText(value: unknown): boolean {
  return typeof value === 'string' && value.length > 0 && value.length <= 256;
}

function toPart(
  publication: Publication,
  writes: ResourceWrite[],
  part: number,
  parts: number,
  digest: string,
): PublicationPart {
  return {
    format: PUBLICATION_FORMAT,
    ...publication,
    part,
    parts,
    digest,
    writes,
  };
}

function envelopeBytes(publication: Publication): number {
  const digest = writesDigest([]);
  const part = toPart(publication, [], MAX_PARTS, MAX_PARTS, digest);
  return Buffer.byteLength(JSON.stringify(part));
}

function groupBySize(
  writes: readonly ResourceWrite[],
  room: number,
): Result<ResourceWrite[][], PublicationError> {
  const groups: ResourceWrite[][] = [];
  let left = 0;
  for (const write of writes) {
    const bytes = Buffer.byteLength(JSON.stringify(write)) + 1;
    if (bytes > room) {
      const message = `"${write.key}" takes ${bytes} bytes of ${room}.`;
      return Err({code: 'resource-too-large', message});
    }
    if (bytes > left) {
      groups.push([]);
      left = room;
    }
    groups.at(-1)?.push(write);
    left -= bytes;
  }
  return Ok(groups);
}
