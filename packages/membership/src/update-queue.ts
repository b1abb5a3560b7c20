/**
 * Queue of updates to piggyback on probes and acks. Each is sent a bounded
 * number of times, which grows with the logarithm of the number of members.
 * Those sent least often go first, the newest first among equals, so that the
 * failure of many members does not delay the update of a drain.
 */

import {estimatePackedBytes, type PackedUpdate} from '@turmericmill/wire';

/** Maximum total size in bytes of the updates in one datagram. */
export const MAX_UPDATES_BYTES = 1_100;

interface QueuedUpdate {
  update: PackedUpdate;
  bytes: number;
  sendCount: number;
}

export class UpdateQueue {
  /** By member, in order of arrival; a newer update replaces the older one. */
  private readonly queued = new Map<string, QueuedUpdate>();

  get size(): number {
    return this.queued.size;
  }

  add(update: PackedUpdate): void {
    const [id] = update;
    this.queued.delete(id);
    this.queued.set(id, {
      update,
      bytes: estimatePackedBytes(update),
      sendCount: 0,
    });
  }

  remove(id: string): void {
    this.queued.delete(id);
  }

  /** Returns updates that fit into one datagram and counts them as sent. */
  nextBatch(memberCount: number, maxBytes = MAX_UPDATES_BYTES): PackedUpdate[] {
    if (this.queued.size === 0) return [];
    const limit = sendLimit(memberCount);
    const chosen: PackedUpdate[] = [];
    let bytes = 0;
    for (const [id, entry] of this.leastSentFirst()) {
      if (bytes + entry.bytes > maxBytes) break;
      bytes += entry.bytes;
      chosen.push(entry.update);
      entry.sendCount += 1;
      if (entry.sendCount >= limit) this.queued.delete(id);
    }
    return chosen;
  }

  private leastSentFirst(): [string, QueuedUpdate][] {
    const entries = [...this.queued];
    return entries.reverse().sort((a, b) => a[1].sendCount - b[1].sendCount);
  }
}

/** Maximum number of times that a node sends the same update. */
export function sendLimit(memberCount: number): number {
  return Math.ceil(Math.log2(memberCount + 2) / 2) + 1;
}
