/** Rendezvous (highest random weight) hashing. */

import murmurhash from 'murmurhash';

/** Hashes text to an unsigned 32-bit integer. */
export function hash32(text: string): number {
  return murmurhash.v3(Buffer.from(text));
}

/**
 * Returns the `count` members with the highest scores for `key`, highest first.
 * Callers with the same members, in any order, get the same result. When a
 * member leaves, only the keys assigned to it move to other members.
 */
export function rendezvousTop(
  key: string,
  members: readonly string[],
  count: number,
): string[] {
  const scored = members.map(member => ({
    member,
    score: hash32(`${key}\u0000${member}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
  return scored.slice(0, count).map(entry => entry.member);
}
