/**
 * When a node writes a snapshot of the fold: often enough that records do not
 * expire before a snapshot covers them, and that snapshots do not expire. Any
 * node may write; several at once do no harm.
 */

import type {RandomSource} from '@turmericmill/utils';

import type {ConfigState} from '../fold/config-state.js';
import type {LogCall, LogReply} from './log-call.js';
import {SnapshotLocator} from './snapshot-locator.js';
import {encodeSnapshot} from './snapshot-record.js';

/** Records after which a new snapshot is due. */
export const SNAPSHOT_RECORDS = 1024;

/** Time after which a snapshot is due even without new records. */
export const SNAPSHOT_INTERVAL_MS = 600_000;

/** How often a writer considers whether one is due. */
const CHECK_INTERVAL_MS = 5000;

/** What a writer has to write, and why it may be urgent. */
export interface SnapshotSource {
  state: ConfigState;
  /** Lowest offset that the log still has. */
  earliest: number;
  /** Others write only when records expired that no snapshot covers. */
  isPrimary: boolean;
}

/** Decides on snapshots, and reads and writes them. */
export class SnapshotWriter {
  private nextCheckMs = 0;
  private locator: SnapshotLocator | undefined;
  private bodies: string[] = [];
  private waiting = false;
  private coveredOffset = 0;
  private coveredAtMs = -Infinity;

  constructor(
    private readonly random: RandomSource,
    private readonly writer: string,
  ) {}

  /** The call to make now, if any; its result goes to `take`. */
  poll(source: SnapshotSource, nowMs: number): LogCall | undefined {
    if (this.waiting) return undefined;
    if (!this.locator && this.bodies.length === 0) {
      if (nowMs < this.nextCheckMs) return undefined;
      this.nextCheckMs = nowMs + CHECK_INTERVAL_MS * (1 + this.random.next());
      if (!this.isDue(source, nowMs)) return undefined;
      this.locator = new SnapshotLocator();
    }
    this.waiting = true;
    if (this.locator) return this.locator.nextCall();
    const body = this.bodies[0] as string;
    return {call: 'append', stream: 'snapshots', body};
  }

  nextDeadlineMs(): number {
    if (this.waiting) return Infinity;
    const busy = this.locator !== undefined || this.bodies.length > 0;
    return busy ? 0 : this.nextCheckMs;
  }

  /** Takes the result of the last call. */
  take(result: LogReply, source: SnapshotSource, nowMs: number): void {
    this.waiting = false;
    if (!this.locator) {
      this.takeAppend(result.isOk());
      return;
    }
    const located = this.locator.onReply(result);
    if (!located) return;
    this.locator = undefined;
    if (located.outcome === 'failed') return;
    if (located.outcome === 'found') {
      const {nextOffset, atMs} = located.snapshot.header;
      this.coveredOffset = nextOffset;
      this.coveredAtMs = atMs;
    }
    if (!this.isDue(source, nowMs)) return;
    const header = {writer: `${this.writer} ${nowMs}`, atMs: nowMs};
    this.bodies = encodeSnapshot(source.state, {...header, bridge: false});
    this.coveredOffset = source.state.nextOffset;
    this.coveredAtMs = nowMs;
  }

  private takeAppend(isAppended: boolean): void {
    if (isAppended) {
      this.bodies.shift();
      return;
    }
    // Whether it is due is found out anew, from what the log holds.
    this.bodies = [];
    this.coveredOffset = 0;
    this.coveredAtMs = -Infinity;
  }

  private isDue(source: SnapshotSource, nowMs: number): boolean {
    const {state, earliest, isPrimary} = source;
    if (state.version < 0) return false;
    const records = state.nextOffset - this.coveredOffset;
    if (earliest > this.coveredOffset && records > 0) return true;
    if (!isPrimary) return false;
    return (
      records >= SNAPSHOT_RECORDS ||
      nowMs - this.coveredAtMs >= SNAPSHOT_INTERVAL_MS
    );
  }
}
