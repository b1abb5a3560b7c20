/** Claim keys, with their digests, partitions and writers. */

import {createHash} from 'node:crypto';

import {hash32, rendezvousTop} from '@turmericmill/utils';

/** Length in bytes of truncated digests; 128 bits rule out collisions. */
const DIGEST_BYTES = 16;

/** Hashes parts with their lengths, so that `ab`, `c` differs from `a`, `bc`. */
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
 * Number of partitions of the key space. It is part of the protocol, because
 * all nodes have to agree on it.
 */
export const CLAIM_PARTITIONS = 16;

/** Returns the fixed-size claim key of a customer's idempotency key. */
export function claimKey(customer: string, idempotencyKey: string): string {
  return digest([customer, idempotencyKey]);
}

/** Returns a digest that detects the use of a key for another request. */
export function requestDigest(
  method: string,
  path: string,
  body: Uint8Array,
): string {
  return digest([method, path, body]);
}

/** Returns the partition of a claim key, from 0 to `partitions` - 1. */
export function claimPartition(key: string, partitions: number): number {
  return hash32(key) % partitions;
}

/**
 * Selects the member that writes a partition. Members with different views may
 * select different writers; the order in the partition's stream then decides.
 */
export function selectClaimWriter(
  partition: number,
  members: readonly string[],
): string | undefined {
  return rendezvousTop(`claims-${partition}`, members, 1)[0];
}
