/**
 * Digest of a node's view: one checksum for each bucket of members. Two nodes
 * compare digests and exchange only the buckets that differ. Digests omit dead
 * and departed members, because nodes remove these at different times.
 */

import type {MemberRecord} from '@turmericmill/wire';

import {isPresent, type MemberEntry} from './member-table.js';

export const BUCKET_COUNT = 64;
const CHECKSUM_BYTES = 4;

/** Odd multipliers that mix the inputs of a checksum. */
const INCARNATION_MIX = 0x9e3779b1;
const REVISION_MIX = 0x85ebca6b;

/** The checksums of all buckets, 32 bits each, big-endian. */
export function digestOf(entries: Iterable<MemberEntry>): Uint8Array {
  const sums = new Uint32Array(BUCKET_COUNT);
  for (const entry of entries) {
    if (!isPresent(entry.record.status)) continue;
    const bucket = bucketOf(entry);
    sums[bucket] = (sums[bucket] as number) + checksum(entry);
  }
  const bytes = Buffer.alloc(BUCKET_COUNT * CHECKSUM_BYTES);
  sums.forEach((sum, bucket) => bytes.writeUInt32BE(sum, bucket * 4));
  return bytes;
}

/** Indexes of the buckets in which two digests differ. */
export function differingBuckets(a: Uint8Array, b: Uint8Array): Set<number> {
  const differing = new Set<number>();
  for (let index = 0; index < BUCKET_COUNT * CHECKSUM_BYTES; index += 1) {
    if (a[index] !== b[index]) {
      differing.add(Math.floor(index / CHECKSUM_BYTES));
    }
  }
  return differing;
}

/** Records of all members in `buckets`, dead and departed ones included. */
export function recordsIn(
  entries: Iterable<MemberEntry>,
  buckets: ReadonlySet<number>,
): MemberRecord[] {
  const records: MemberRecord[] = [];
  for (const entry of entries) {
    if (buckets.has(bucketOf(entry))) records.push(entry.record);
  }
  return records;
}

function bucketOf(entry: MemberEntry): number {
  return entry.position % BUCKET_COUNT;
}

function checksum(entry: MemberEntry): number {
  const {incarnation, revision} = entry.record;
  const low = Math.imul(incarnation % 2 ** 32, INCARNATION_MIX);
  const high = Math.imul(Math.floor(incarnation / 2 ** 32), REVISION_MIX);
  const mixed = Math.imul(low ^ entry.position, INCARNATION_MIX);
  return (mixed ^ high ^ Math.imul(revision + 1, REVISION_MIX)) >>> 0;
}
