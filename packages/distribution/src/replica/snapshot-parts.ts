/** A whole set as messages, and its assembly at the receiver. */

import type {ResourceWrite} from '@turmericmill/config';
import type {ConfigSnapshotPart} from '@turmericmill/wire';

import type {ConfigVersion} from './config-version.js';

/** Text of one part, about; a single larger resource makes a larger part. */
const PART_BYTES = 128 * 1024;

/** Most parts that a receiver takes. */
const MAX_SNAPSHOT_PARTS = 4096;

/** Splits a version into messages. */
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

/** Collects the parts of one snapshot of one sender. */
export class SnapshotStaging {
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

  /** Opens staging for the snapshot of `part`, or undefined if malformed. */
  static open(
    sender: string,
    part: ConfigSnapshotPart,
  ): SnapshotStaging | undefined {
    const {version, digest, parts} = part;
    const sound = Number.isSafeInteger(parts) && parts > 0;
    if (!sound || parts > MAX_SNAPSHOT_PARTS) return undefined;
    return new SnapshotStaging(sender, version, digest, parts);
  }

  /** Whether `part` belongs to the snapshot that is being collected. */
  matches(sender: string, part: ConfigSnapshotPart): boolean {
    return (
      sender === this.sender &&
      part.version === this.version &&
      part.digest === this.digest &&
      part.parts === this.parts
    );
  }

  /** Takes a part and returns all writes once none is missing. */
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
