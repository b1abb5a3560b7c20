/** Splits a snapshot into messages and assembles it at the receiver. */

import type {ResourceWrite} from '@turmericmill/config';
import type {ConfigSnapshotPart} from '@turmericmill/wire';

import type {ConfigVersion} from './config-version.js';

/** Approximate size of one part; a single larger resource exceeds it. */
const PART_BYTES = 128 * 1024;

/** Maximum number of parts that a receiver accepts. */
const MAX_SNAPSHOT_PARTS = 4096;

/** Splits a version into the parts of a snapshot. */
export function splitSnapshot(current: ConfigVersion): ConfigSnapshotPart[] {
  const groups: ResourceWrite[][] = [[]];
  let bytes = 0;
  for (const [key, resource] of current.resources) {
    const size = JSON.stringify(resource).length;
    if (bytes > 0 && bytes + size > PART_BYTES) {
      groups.push([]);
      bytes = 0;
    }
    groups.at(-1)?.push({key, resource});
    bytes += size;
  }
  const {version, digest} = current;
  const parts = groups.length;
  return groups.map((writes, part) => ({version, digest, part, parts, writes}));
}

/** Collects the parts of one snapshot from one sender. */
export class SnapshotAssembler {
  private readonly received: (ResourceWrite[] | undefined)[] = [];
  private missing: number;

  private constructor(
    readonly sender: string,
    private readonly version: number,
    private readonly digest: string,
    private readonly parts: number,
  ) {
    this.missing = parts;
  }

  /** An assembler for the snapshot of `part`; undefined if malformed. */
  static create(
    sender: string,
    part: ConfigSnapshotPart,
  ): SnapshotAssembler | undefined {
    const {version, digest, parts} = part;
    const isValid = Number.isSafeInteger(parts) && parts > 0;
    if (!isValid || parts > MAX_SNAPSHOT_PARTS) return undefined;
    return new SnapshotAssembler(sender, version, digest, parts);
  }

  /** Whether `part` belongs to the snapshot that this collects. */
  matches(sender: string, part: ConfigSnapshotPart): boolean {
    return (
      sender === this.sender &&
      part.version === this.version &&
      part.digest === this.digest &&
      part.parts === this.parts
    );
  }

  /** Adds a part; returns all writes once no part is missing. */
  add(part: ConfigSnapshotPart): ResourceWrite[] | undefined {
    const inRange = part.part >= 0 && part.part < this.parts;
    if (inRange && this.received[part.part] === undefined) {
      this.received[part.part] = part.writes;
      this.missing--;
    }
    if (this.missing > 0) return undefined;
    return this.received.flatMap(writes => writes ?? []);
  }
}
