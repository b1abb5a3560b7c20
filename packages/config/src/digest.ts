/**
 * Canonical form and digests of resources.
 *
 * The digest of a set is the sum of the hashes of its resources modulo 2^128.
 * It does not depend on their order. The cost of updating it after a write
 * depends on the write alone. It detects faults of transport and software, but
 * gives no protection against an attacker who can choose the resources.
 */

import {createHash} from 'node:crypto';

import {configure} from 'safe-stable-stringify';

import type {
  Resource,
  ResourceKey,
  ResourceMap,
  ResourceWrite,
} from './resource.js';

const DIGEST_BYTES = 16;
const DIGEST_MODULUS = 1n << BigInt(8 * DIGEST_BYTES);

const stringify = configure({deterministic: true, strict: true});

/** Digest of a set without resources. */
export const EMPTY_DIGEST = toHex(0n);

/** Cached hashes. Resources are immutable, so each is hashed only once. */
const hashes = new WeakMap<Resource, bigint>();

/** Returns JSON text that does not depend on the order of properties. */
export function canonicalJson(value: unknown): string {
  return stringify(value) ?? 'null';
}

/** Returns the digest of one resource: 32 hexadecimal digits. */
export function resourceDigest(resource: Resource): string {
  return toHex(hashOf(resource));
}

/** Returns the digest of a set: 32 hexadecimal digits. */
export function digestOf(resources: ResourceMap): string {
  let sum = 0n;
  for (const resource of resources.values()) sum += hashOf(resource);
  return toHex(sum);
}

/** Returns the digest after `writes` from the previous digest and content. */
export function digestAfter(
  digest: string,
  before: ResourceMap,
  writes: readonly ResourceWrite[],
): string {
  let sum = BigInt(`0x${digest}`);
  const written = new Map<ResourceKey, Resource | null>();
  for (const {key, resource} of writes) {
    const previous = written.has(key) ? written.get(key) : before.get(key);
    if (previous) sum -= hashOf(previous);
    if (resource) sum += hashOf(resource);
    written.set(key, resource);
  }
  return toHex(sum);
}

/** Returns a digest of the writes, removals included, regardless of order. */
export function writesDigest(writes: readonly ResourceWrite[]): string {
  let sum = 0n;
  for (const {key, resource} of writes) {
    sum += resource ? hashOf(resource) : hashText(`removed\u0000${key}`);
  }
  return toHex(sum);
}

/** Whether two resources have the same content. */
export function sameResource(a: Resource, b: Resource): boolean {
  return a === b || hashOf(a) === hashOf(b);
}

function hashOf(resource: Resource): bigint {
  let hash = hashes.get(resource);
  if (hash === undefined) {
    const {key, spec} = resource;
    hash = hashText(`${key}\u0000${canonicalJson(spec)}`);
    hashes.set(resource, hash);
  }
  return hash;
}

function hashText(text: string): bigint {
  const hash = createHash('sha256').update(text).digest('hex');
  return BigInt(`0x${hash.slice(0, 2 * DIGEST_BYTES)}`);
}

function toHex(value: bigint): string {
  const reduced = BigInt.asUintN(8 * DIGEST_BYTES, value % DIGEST_MODULUS);
  return reduced.toString(16).padStart(2 * DIGEST_BYTES, '0');
}
