/**
 * Ring of members, ordered by the hash of their ids. Each member is monitored
 * by its two predecessors, which each probe it every second ring period: on
 * average it is probed once per period. While the ring is unchanged and either
 * predecessor works, a failed member is probed within two periods. The hash
 * order makes it likely that hosts of one rack are monitored from other racks.
 */

import {hash32} from '@turmericmill/utils';

interface RingEntry {
  id: string;
  position: number;
}

export class MemberRing {
  private entries: RingEntry[] = [];

  /** Replaces all members; the position of each is the hash of its id. */
  rebuild(positions: Iterable<[id: string, position: number]>): void {
    this.entries = [...positions].map(([id, position]) => ({id, position}));
    this.entries.sort(
      (a, b) => a.position - b.position || (a.id < b.id ? -1 : 1),
    );
  }

  /** Up to `count` members after `id`, which need not be in the ring itself. */
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
      const isBefore =
        entry.position < position ||
        (entry.position === position && entry.id <= id);
      if (isBefore) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
