/**
 * News that ride on probes and answers. Each is sent a bounded number of times
 * that grows with the logarithm of the members; the least sent go first, among
 * them the newest: the news of a herd must not hold up a drain.
 */

import {estimatePackedBytes, type PackedUpdate} from '@turmericmill/wire';

/** Largest sum of updates in one datagram, in bytes. */
export const MAX_UPDATE_BYTES = 1_100;

interface QueuedUpdate {
  update: PackedUpdate;
  bytes: number;
  sent: number;
}

export class UpdateQueue {
  /** In order of arrival; a newer update of a member replaces the older. */
  private readonly queued = new Map<string, QueuedUpdate>();

  get size(): number {
    return this.queued.size;
  }

  add(update: PackedUpdate): void {
    const [id] = update;
    this.queued.delete(id);
    this.queued.set(id, {update, bytes: estimatePackedBytes(update), sent: 0});
  }

  /** Takes what fits into one datagram, and counts it as sent once. */
  take(memberCount: number, maxBytes = MAX_UPDATE_BYTES): PackedUpdate[] {
    if (this.queued.size === 0) return [];
    const limit = sendLimit(memberCount);
    const chosen: PackedUpdate[] = [];
    let bytes = 0;
    for (const [id, entry] of this.leastSentFirst()) {
      if (bytes + entry.bytes > maxBytes) break;
      bytes += entry.bytes;
      chosen.push(entry.update);
      entry.sent += 1;
      if (entry.sent >= limit) this.queued.delete(id);
    }
    return chosen;
  }

  private leastSentFirst(): [string, QueuedUpdate][] {
    const entries = [...this.queued];
    return entries.reverse().sort((a, b) => a[1].sent - b[1].sent);
  }
}

/** Times that one node sends the same update. */
export function sendLimit(memberCount: number): number {
  return Math.ceil(Math.log2(memberCount + 2) / 2) + 1;
}
