/** Finds the newest whole snapshot of the fold in the log. */

import type {LogError, LogPage, StreamBounds} from '@turmericmill/platform';

import type {LogCall, LogReply} from './log-call.js';
import {SnapshotCollector} from './snapshot-record.js';
import type {SnapshotFound} from './snapshot-record.js';

/** Records read at first; more when they hold no whole snapshot. */
const FIRST_WINDOW_RECORDS = 32;
const PAGE_RECORDS = 16;

/** What a search ended with. */
export type Located =
  | {outcome: 'found'; snapshot: SnapshotFound}
  | {outcome: 'none'}
  | {outcome: 'failed'; error: LogError};

/** One search, from the end of the stream backwards. */
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

  /** Takes the result of the call; undefined when another one is needed. */
  onReply(result: LogReply): Located | undefined {
    if (result.isErr()) {
      if (result.error.code !== 'trimmed') {
        return {outcome: 'failed', error: result.error};
      }
      this.restart();
      return undefined;
    }
    if (!this.bounds) {
      this.open(result.value as StreamBounds);
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

  private open(bounds: StreamBounds): void {
    this.bounds = bounds;
    this.from = Math.max(bounds.earliest, bounds.next - this.window);
    this.collector = new SnapshotCollector();
  }

  private restart(): void {
    this.bounds = undefined;
  }

  private finishAtEnd(): Located | undefined {
    const {bounds} = this;
    if (!bounds || this.from < bounds.next) return undefined;
    const {found} = this.collector;
    if (found) return {outcome: 'found', snapshot: found};
    if (this.window >= bounds.next - bounds.earliest) return {outcome: 'none'};
    this.window *= 4;
    this.restart();
    return undefined;
  }
}
