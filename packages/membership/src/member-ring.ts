/**
 * Members in the order of the hashes of their ids. Each is watched by the two
 * that stand before it, so that every death is noticed within one probe period,
 * and hosts of one rack are watched from elsewhere.
 */

import {hash32} from '@turmericmill/utils';

interface RingEntry {
  id: string;
  position: number;
}

export class MemberRing {
  private entries: RingEntry[] = [];

  /** Replaces the members. `positions` has the hash of each id. */
  rebuild(positions: Iterable<[id: string, position: number]>): void {
    this.entries = [...positions].map(([id, position]) => ({id, position}));
    this.entries.sort(
      (a, b) => a.position - b.position || (a.id < b.id ? -1 : 1),
    );
  }

  /** Up to `count` members that follow `id`, which need not be in the ring. */
  successors(id: string, count: number): string[] {
    const length = this.entries.length;
    const start = this.firstAfter(id, hash32(id));
    const found: string[] = [];
    for (let step = 0; step < length && found.length < count; step += 1) {
      const entry = this.entries[(start + step) % length] as RingEntry;
      if (entry.id !== id) found.push(entry.id);
    }
    return found;
  }

  private firstAfter(id: string, position: number): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const entry = this.entries[middle] as RingEntry;
      const before =
        entry.position < position ||
        (entry.position === position && entry.id <= id);
      if (before) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
