/**
 * Canonical form and digests.
 *
 * The digest of a set is the sum modulo 2^128 of a hash of each resource. It
 * does not depend on the order of the resources, and after a write it follows
 * from the digest before in time that depends on the write alone. It finds
 * faults of transport and of software; it is no defence against an attacker
 * who may choose the resources.
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

/** The digest of a set without resources. */
export const EMPTY_DIGEST = toHex(0n);

/** Resources are immutable, so that each is hashed once. */
const hashes = new WeakMap<Resource, bigint>();

/** JSON text that is equal for equal values, whatever their property order. */
export function canonicalJson(value: unknown): string {
  return stringify(value) ?? 'null';
}

/** Digest of one resource: 32 hexadecimal digits. */
export function resourceDigest(resource: Resource): string {
  return toHex(hashOf(resource));
}

/** Digest of a set: 32 hexadecimal digits. */
export function digestOf(resources: ResourceMap): string {
  let sum = 0n;
  for (const resource of resources.values()) sum += hashOf(resource);
  return toHex(sum);
}

/** The digest of a set after `writes`, from its digest and content before. */
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

/** Digest of the writes themselves, removals included, in any order. */
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
