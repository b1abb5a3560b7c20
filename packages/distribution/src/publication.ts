/**
 * Publications: changes to the namespace of one team, encoded as one or more
 * records of the log.
 */

import {writesDigest} from '@turmericmill/config';
import type {ResourceWrite} from '@turmericmill/config';
import {MAX_RECORD_BYTES} from '@turmericmill/platform';
import {Err, Ok, type Result} from '@turmericmill/utils';

/** The format of the records. The fold ignores records of other formats. */
export const PUBLICATION_FORMAT = 'turmericmill-publication-1';

/** Maximum number of records of a publication. */
export const MAX_PARTS = 32;

/** A change requested by an operator. */
export interface Publication {
  /** Unique; a second publication with the same id is ignored. */
  id: string;
  team: string;
  author: string;
  /** The version that the writes were computed against; -1 for none. */
  base: number;
  /** At most one per key; all keys are in the namespace of the team. */
  writes: ResourceWrite[];
  /** A note shown in the history. */
  message?: string;
}

/** One record of a publication. */
export interface PublicationPart extends Publication {
  format: typeof PUBLICATION_FORMAT;
  /** Index of this part, from 0. */
  part: number;
  parts: number;
  /**
   * Digest of the writes of all parts; verifies that they are complete. It is
   * not a digest of the resulting set: publications of other teams may be
   * accepted in between, so only the fold can compute that.
   */
  digest: string;
}

/** Why a publication cannot be encoded as records. */
export type PublicationErrorCode =
  | 'empty'
  /** A resource does not fit into a record. */
  | 'resource-too-large'
  /** More than `MAX_PARTS` records would be needed. */
  | 'publication-too-large';

export interface PublicationError {
  code: PublicationErrorCode;
  message: string;
}

/** Returns the bodies of the records to append, in order. */
export function buildPublication(
  publication: Publication,
): Result<string[], PublicationError> {
  const {writes} = publication;
  if (writes.length === 0) {
    return Err({code: 'empty', message: 'The publication changes nothing.'});
  }
  const maxBytes = MAX_RECORD_BYTES - envelopeBytes(publication);
  const groups = groupBySize(writes, maxBytes);
  if (groups.isErr()) return groups;
  const parts = groups.value.length;
  if (parts > MAX_PARTS) {
    const message = `The publication needs ${parts} records; the maximum is ${MAX_PARTS}.`;
    return Err({code: 'publication-too-large', message});
  }
  const digest = writesDigest(writes);
  const bodies = groups.value.map((group, part) =>
    JSON.stringify(toPart(publication, group, part, parts, digest)),
  );
  return Ok(bodies);
}

/** Parses a record; undefined if it is not a well-formed publication part. */
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

function isCount(value: unknown, min: number): value is number {
  return Number.isSafeInteger(value) && (value as number) >= min;
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
  maxBytes: number,
): Result<ResourceWrite[][], PublicationError> {
  const groups: ResourceWrite[][] = [];
  let remainingBytes = 0;
  for (const write of writes) {
    const bytes = Buffer.byteLength(JSON.stringify(write)) + 1;
    if (bytes > maxBytes) {
      const message = `"${write.key}" needs ${bytes} bytes; the maximum is ${maxBytes}.`;
      return Err({code: 'resource-too-large', message});
    }
    if (bytes > remainingBytes) {
      groups.push([]);
      remainingBytes = maxBytes;
    }
    groups.at(-1)?.push(write);
    remainingBytes -= bytes;
  }
  return Ok(groups);
}
