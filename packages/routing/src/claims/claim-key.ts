/** Keys of claims: their digests, partitions and writers. */

import {createHash} from 'node:crypto';

import {hash32, rendezvousTop} from '@turmericmill/utils';

/** Length in bytes to which digests are cut; 128 bits rule out collisions. */
const DIGEST_BYTES = 16;

function digest(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    const bytes = Buffer.from(part);
    const length = Buffer.allocUnsafe(4);
    length.writeUInt32BE(bytes.length);
    hash.update(length).update(bytes);
  }
  return hash.digest().subarray(0, DIGEST_BYTES).toString('base64url');
}

/**
 * Number of partitions of all keys. All nodes have to agree on it, so it is
 * part of the protocol.
 */
export const CLAIM_PARTITIONS = 16;

/** The fixed-size key of a customer's idempotency key. */
export function claimKey(customer: string, idempotencyKey: string): string {
  return digest([customer, idempotencyKey]);
}

/** Digest of what a request asks for: the same key must mean the same. */
export function requestDigest(
  method: string,
  path: string,
  body: Uint8Array,
): string {
  return digest([method, path, body]);
}

/** The partition of a claim key, at least 0 and below `partitions`. */
export function claimPartition(key: string, partitions: number): number {
  return hash32(key) % partitions;
}

/**
 * The member that writes a partition. Members with different views may choose
 * differently; the epochs in the partition's stream then decide.
 */
export function selectClaimWriter(
  partition: number,
  members: readonly string[],
): string | undefined {
  return rendezvousTop(`claims-${partition}`, members, 1)[0];
}
