/**
 * Snapshots of the fold as records of the stream `snapshots`. The content is a
 * function of the log before `nextOffset` and does not depend on the writer. A
 * bridge is a snapshot that replaces records that expired before any reader
 * wrote a snapshot. Of several bridges for an offset, the first one is used.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';

import {digestOf} from '@turmericmill/config';
import type {Resource, ResourceKey} from '@turmericmill/config';
import type {LogRecord} from '@turmericmill/platform';

import type {RecentId, Tombstone} from '../fold/change-history.js';
import type {ConfigState} from '../fold/config-state.js';
import type {PendingPublication} from '../fold/pending-parts.js';
import {buildIndex} from '../fold/resource-index.js';
import {PersistentMap} from '../persistent-map.js';
import {PersistentQueue} from '../persistent-queue.js';

const SNAPSHOT_FORMAT = 'turmericmill-snapshot-1';

/** Maximum base64 characters in a record; leaves space for other fields. */
const PART_CHARACTERS = 240 * 1024;

const MAX_SNAPSHOT_RECORDS = 1024;

/** Maximum inflated size of a snapshot that a reader accepts. */
const MAX_SNAPSHOT_BYTES = 128 * 1024 * 1024;

/** The fields that describe a snapshot, repeated in each of its records. */
export interface SnapshotHeader {
  /** Node and start time; separates the records of concurrent writers. */
  writer: string;
  atMs: number;
  nextOffset: number;
  version: number;
  digest: string;
  bridge: boolean;
}

interface SnapshotRecord extends SnapshotHeader {
  format: typeof SNAPSHOT_FORMAT;
  part: number;
  parts: number;
  data: string;
}

/** A complete snapshot as read from the log. */
export interface DecodedSnapshot {
  header: SnapshotHeader;
  state: ConfigState;
}

interface Content {
  resources: Resource[];
  changedAt: [ResourceKey, number][];
  tombstones: Tombstone[];
  recentIds: RecentId[];
  horizon: number;
  pending: PendingPublication[];
}

/** Returns the records of a snapshot of `state`, to be appended in order. */
export function encodeSnapshot(
  state: ConfigState,
  {writer, atMs, bridge}: {writer: string; atMs: number; bridge: boolean},
): string[] {
  const text = JSON.stringify(contentOf(state));
  const data = deflateRawSync(text).toString('base64');
  const {nextOffset, version, digest} = state;
  const parts = Math.max(1, Math.ceil(data.length / PART_CHARACTERS));
  return Array.from({length: parts}, (unused, part) => {
    const start = part * PART_CHARACTERS;
    const record: SnapshotRecord = {
      format: SNAPSHOT_FORMAT,
      writer,
      atMs,
      nextOffset,
      version,
      digest,
      bridge,
      part,
      parts,
      data: data.slice(start, start + PART_CHARACTERS),
    };
    return JSON.stringify(record);
  });
}

/** Assembles snapshots from the records of the stream; keeps the newest one. */
export class SnapshotCollector {
  private readonly incomplete = new Map<string, SnapshotRecord[]>();
  private best: DecodedSnapshot | undefined;

  /** The newest complete snapshot so far. */
  get newest(): DecodedSnapshot | undefined {
    return this.best;
  }

  /** Adds the next record, in the order of the stream. */
  add(record: LogRecord): void {
    const part = parseRecord(record.body);
    if (!part) return;
    const parts = this.incomplete.get(part.writer) ?? [];
    if (part.part !== parts.length) {
      this.incomplete.delete(part.writer);
      if (part.part !== 0) return;
      parts.length = 0;
    }
    parts.push(part);
    this.incomplete.set(part.writer, parts);
    if (parts.length < part.parts) return;
    this.incomplete.delete(part.writer);
    this.keepIfNewer(parts);
  }

  private keepIfNewer(parts: readonly SnapshotRecord[]): void {
    const header = parts[0] as SnapshotRecord;
    if (this.best && header.nextOffset <= this.best.header.nextOffset) return;
    const state = decode(header, parts.map(part => part.data).join(''));
    if (state) this.best = {header, state};
  }
}

function contentOf(state: ConfigState): Content {
  const {horizon, changedAt, tombstones, recentIds} = state.history;
  const byKey = (a: {key: string}, b: {key: string}) =>
    a.key < b.key ? -1 : 1;
  const changes = [...changedAt].filter(([, version]) => version > horizon);
  return {
    resources: [...state.resources.values()].sort(byKey),
    changedAt: changes.sort(([a], [b]) => (a < b ? -1 : 1)),
    tombstones: tombstones.toArray(),
    recentIds: recentIds.toArray(),
    horizon,
    pending: [...state.pending],
  };
}

function decode(header: SnapshotHeader, data: string): ConfigState | undefined {
  try {
    const options = {maxOutputLength: MAX_SNAPSHOT_BYTES};
    const text = inflateRawSync(Buffer.from(data, 'base64'), options);
    return stateOf(header, JSON.parse(text.toString()) as Content);
  } catch {
    return undefined;
  }
}

function stateOf(
  {version, digest, nextOffset}: SnapshotHeader,
  content: Content,
): ConfigState | undefined {
  const entries = content.resources.map(item => [item.key, item] as const);
  const resources = PersistentMap.from(entries);
  if (digestOf(resources) !== digest) return undefined;
  const ids = content.recentIds.map(({id, offset}) => [id, offset] as const);
  return {
    version,
    digest,
    nextOffset,
    resources,
    history: {
      changedAt: PersistentMap.from(content.changedAt),
      tombstones: PersistentQueue.from(content.tombstones),
      recentIds: PersistentQueue.from(content.recentIds),
      offsetById: PersistentMap.from(ids),
      horizon: content.horizon,
    },
    index: buildIndex(content.resources),
    pending: content.pending,
  };
}

function parseRecord(body: string): SnapshotRecord | undefined {
  let value: Partial<SnapshotRecord> | null;
  try {
    value = JSON.parse(body) as Partial<SnapshotRecord> | null;
  } catch {
    return undefined;
  }
  if (value?.format !== SNAPSHOT_FORMAT) return undefined;
  const {parts, part, data, writer, nextOffset, version} = value;
  const numbers = [parts, part, nextOffset, version];
  const isValid =
    numbers.every(Number.isSafeInteger) &&
    (parts as number) <= MAX_SNAPSHOT_RECORDS &&
    typeof data === 'string' &&
    typeof writer === 'string';
  return isValid ? (value as SnapshotRecord) : undefined;
}
