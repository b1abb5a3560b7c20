/**
 * Decides when a node writes a snapshot of the fold: often enough that no
 * record expires before a snapshot covers it, and no snapshot expires before a
 * newer one is written. Any node may write; concurrent writers are harmless.
 */

import type {RandomSource} from '@turmericmill/utils';

import type {ConfigState} from '../fold/config-state.js';
import type {LogCall, LogReply} from './log-call.js';
import {SnapshotLocator} from './snapshot-locator.js';
import {encodeSnapshot} from './snapshot-record.js';

/** Number of new records after which a snapshot is due. */
export const SNAPSHOT_RECORDS = 1024;

/** Time after which a snapshot is due even without new records. */
export const SNAPSHOT_INTERVAL_MS = 600_000;

/** Minimum time between two checks whether a snapshot is due. */
const CHECK_INTERVAL_MS = 5000;

/** The state to write, and the inputs that decide when to write it. */
export interface SnapshotSource {
  state: ConfigState;
  /** Lowest offset in the log. */
  earliest: number;
  /**
   * Whether the node is the first relay of its data centre. Others write only
   * if records expired that no snapshot covers.
   */
  isPrimary: boolean;
}

/** Looks up the newest snapshot in the log and writes a newer one if due. */
export class SnapshotWriter {
  private nextCheckMs = 0;
  private locator: SnapshotLocator | undefined;
  private bodies: string[] = [];
  private isCallPending = false;
  private coveredOffset = 0;
  private coveredAtMs = -Infinity;

  constructor(
    private readonly random: RandomSource,
    private readonly writer: string,
  ) {}

  /** The call to make now, if any; pass its result to `onReply`. */
  poll(source: SnapshotSource, nowMs: number): LogCall | undefined {
    if (this.isCallPending) return undefined;
    if (!this.locator && this.bodies.length === 0) {
      if (nowMs < this.nextCheckMs) return undefined;
      this.nextCheckMs = nowMs + CHECK_INTERVAL_MS * (1 + this.random.next());
      if (!this.isDue(source, nowMs)) return undefined;
      this.locator = new SnapshotLocator();
    }
    this.isCallPending = true;
    if (this.locator) return this.locator.nextCall();
    const body = this.bodies[0] as string;
    return {call: 'append', stream: 'snapshots', body};
  }

  nextDeadlineMs(): number {
    if (this.isCallPending) return Infinity;
    const isBusy = this.locator !== undefined || this.bodies.length > 0;
    return isBusy ? 0 : this.nextCheckMs;
  }

  /** Handles the result of the pending call. */
  onReply(result: LogReply, source: SnapshotSource, nowMs: number): void {
    this.isCallPending = false;
    if (!this.locator) {
      this.onAppended(result.isOk());
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

  private onAppended(isAppended: boolean): void {
    if (isAppended) {
      this.bodies.shift();
      return;
    }
    // The next check looks up in the log again which offset is covered.
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
