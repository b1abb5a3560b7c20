/** The latest changes, kept within a number of bytes, for peers behind. */

import type {ResourceKey, ResourceWrite} from '@turmericmill/config';
import type {ConfigDelta} from '@turmericmill/wire';

/** Most text of changes that a node keeps for others. */
export const DELTA_HISTORY_BYTES = 2 * 1024 * 1024;

interface Entry {
  delta: ConfigDelta;
  bytes: number;
}

/** A bounded run of changes without gaps. */
export class DeltaHistory {
  private entries: Entry[] = [];
  private bytes = 0;

  constructor(private readonly maxBytes = DELTA_HISTORY_BYTES) {}

  /** Adds the change that led to the version in force. */
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

  /** Forgets all, after a whole set was taken over. */
  clear(): void {
    this.entries = [];
    this.bytes = 0;
  }

  /** All changes after `version` as one, or undefined when some are gone. */
  since(version: number): ConfigDelta | undefined {
    const start = this.entries.findIndex(({delta}) => delta.to > version);
    const deltas = this.entries.slice(start).map(entry => entry.delta);
    if (start < 0 || (deltas[0]?.from ?? Infinity) > version) return undefined;
    return mergeDeltas(deltas);
  }
}

/** Joins a run of changes; of several writes of a key the last one counts. */
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

/** The change as it is given to a peer that asked for it. */
function withoutRoot(delta: ConfigDelta): ConfigDelta {
  const {from, to, digest, writes, acceptedAtMs} = delta;
  return {from, to, digest, writes, acceptedAtMs};
}

/** The size of writes as JSON text, which bounds their size on the wire. */
export function writesBytes(writes: readonly ResourceWrite[]): number {
  return JSON.stringify(writes).length;
}
