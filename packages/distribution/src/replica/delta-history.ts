/** Recent deltas within a byte budget, kept for peers that are behind. */

import type {ResourceKey, ResourceWrite} from '@turmericmill/config';
import type {ConfigDelta} from '@turmericmill/wire';

/** Maximum size of the deltas that a node keeps for other nodes. */
export const DELTA_HISTORY_BYTES = 2 * 1024 * 1024;

interface Entry {
  delta: ConfigDelta;
  bytes: number;
}

/** A bounded sequence of deltas without gaps. */
export class DeltaHistory {
  private entries: Entry[] = [];
  private bytes = 0;

  constructor(private readonly maxBytes = DELTA_HISTORY_BYTES) {}

  /** Appends a delta; a gap before it clears the history. */
  add(delta: ConfigDelta): void {
    const last = this.entries.at(-1);
    if (last && delta.from > last.delta.to) this.clear();
    const bytes = writesBytes(delta.writes);
    this.entries.push({delta: withoutRoot(delta), bytes});
    this.bytes += bytes;
    while (this.bytes > this.maxBytes) {
      this.bytes -= this.entries.shift()?.bytes ?? 0;
    }
  }

  /** Removes all deltas, for example when all resources were replaced. */
  clear(): void {
    this.entries = [];
    this.bytes = 0;
  }

  /** All changes after `version` in one delta; undefined if some were evicted. */
  since(version: number): ConfigDelta | undefined {
    const start = this.entries.findIndex(({delta}) => delta.to > version);
    const deltas = this.entries.slice(start).map(entry => entry.delta);
    if (start < 0 || (deltas[0]?.from ?? Infinity) > version) return undefined;
    return mergeDeltas(deltas);
  }
}

/** Merges consecutive deltas; the last write of each key wins. */
export function mergeDeltas(
  deltas: readonly ConfigDelta[],
): ConfigDelta | undefined {
  const first = deltas[0];
  const last = deltas.at(-1);
  if (!first || !last) return undefined;
  if (first === last) return first;
  const writes = new Map<ResourceKey, ResourceWrite>();
  for (const delta of deltas) {
    for (const write of delta.writes) writes.set(write.key, write);
  }
  return {...last, from: first.from, writes: [...writes.values()]};
}

/** Copies the delta without its root, so that receivers do not forward it. */
function withoutRoot(delta: ConfigDelta): ConfigDelta {
  const {from, to, digest, writes, acceptedAtMs} = delta;
  return {from, to, digest, writes, acceptedAtMs};
}

/**
 * Length of the writes as JSON text. For ASCII text it is an upper bound of
 * their size on the wire.
 */
export function writesBytes(writes: readonly ResourceWrite[]): number {
  return JSON.stringify(writes).length;
}
