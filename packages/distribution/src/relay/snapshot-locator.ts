/** Finds the newest complete snapshot of the fold in the log. */

import type {LogError, LogPage, StreamBounds} from '@turmericmill/platform';

import type {LogCall, LogReply} from './log-call.js';
import {SnapshotCollector} from './snapshot-record.js';
import type {DecodedSnapshot} from './snapshot-record.js';

/** Records read at first; more are read if they hold no complete snapshot. */
const FIRST_WINDOW_RECORDS = 32;
const PAGE_RECORDS = 16;

/** The result of a search. */
export type LocateResult =
  | {outcome: 'found'; snapshot: DecodedSnapshot}
  | {outcome: 'none'}
  | {outcome: 'failed'; error: LogError};

/** One search, in a window at the end of the stream that grows backwards. */
export class SnapshotLocator {
  private window = FIRST_WINDOW_RECORDS;
  private bounds: StreamBounds | undefined;
  private from = 0;
  private collector = new SnapshotCollector();

  /** The call to make next. */
  nextCall(): LogCall {
    const stream = 'snapshots';
    if (!this.bounds) return {call: 'bounds', stream};
    return {
      call: 'read',
      stream,
      from: this.from,
      limit: PAGE_RECORDS,
      waitMs: 0,
    };
  }

  /** Handles the result of the call; undefined if another call is needed. */
  onReply(result: LogReply): LocateResult | undefined {
    if (result.isErr()) {
      if (result.error.code !== 'trimmed') {
        return {outcome: 'failed', error: result.error};
      }
      this.restart();
      return undefined;
    }
    if (!this.bounds) {
      this.startSearch(result.value as StreamBounds);
      return this.finishAtEnd();
    }
    const page = result.value as LogPage;
    for (const record of page.records) {
      this.collector.add(record);
      this.from = record.offset + 1;
    }
    if (page.records.length === 0) this.from = this.bounds.next;
    return this.finishAtEnd();
  }

  private startSearch(bounds: StreamBounds): void {
    this.bounds = bounds;
    this.from = Math.max(bounds.earliest, bounds.next - this.window);
    this.collector = new SnapshotCollector();
  }

  private restart(): void {
    this.bounds = undefined;
  }

  private finishAtEnd(): LocateResult | undefined {
    const {bounds} = this;
    if (!bounds || this.from < bounds.next) return undefined;
    const {newest} = this.collector;
    if (newest) return {outcome: 'found', snapshot: newest};
    if (this.window >= bounds.next - bounds.earliest) return {outcome: 'none'};
    this.window *= 4;
    this.restart();
    return undefined;
  }
}
