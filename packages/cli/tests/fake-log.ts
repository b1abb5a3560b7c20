/** A log in memory whose next calls can be made to fail. */

import {
  emptyConfigState,
  encodeSnapshot,
  foldRecord,
} from '@turmericmill/distribution';
import {
  LogClient,
  type LogError,
  type LogErrorCode,
  type LogPage,
  type LogRecord,
  type Offset,
  type ReadOptions,
  type StreamBounds,
  type StreamName,
} from '@turmericmill/platform';
import {Err, Ok, type Result} from '@turmericmill/utils';

/** What goes wrong with an append. */
export type AppendFault =
  /** The record is not taken. */
  | 'unavailable'
  /** The record is taken, the answer lost. */
  | 'answer-lost'
  /** The record is not taken, and nobody can tell. */
  | 'request-lost'
  | 'refused';

/** The stream of configuration, and snapshots of it. */
export class FakeLogClient extends LogClient {
  records: LogRecord[] = [];
  private snapshots: LogRecord[] = [];
  earliest = 0;
  /** Faults of the next appends, one each. */
  appendFaults: AppendFault[] = [];
  /** Fault of all appends after those. */
  lastingFault: AppendFault | undefined;
  /** Errors of the next reads, one each. */
  readFaults: LogErrorCode[] = [];
  /** Called before each append that is taken. */
  beforeAppend: (() => void) | undefined;

  /** Takes a record as if another operator had appended it. */
  take(body: string): Offset {
    const offset = this.earliest + this.records.length;
    this.records.push({offset, body});
    return offset;
  }

  /** Writes a snapshot of all records and removes them. */
  snapshotAndTrim(): void {
    let state = emptyConfigState();
    for (const record of this.records) state = foldRecord(state, record).state;
    const header = {writer: 'w', atMs: 0, bridge: false};
    const bodies = encodeSnapshot(state, header);
    this.snapshots = bodies.map((body, offset) => ({offset, body}));
    this.earliest = state.nextOffset;
    this.records = [];
  }

  override async append(
    stream: StreamName,
    body: string,
  ): Promise<Result<Offset, LogError>> {
    const fault = this.appendFaults.shift() ?? this.lastingFault;
    if (fault === 'unavailable' || fault === 'refused') {
      return Err({code: fault, message: fault});
    }
    if (fault === 'request-lost') return Err(LOST);
    this.beforeAppend?.();
    this.beforeAppend = undefined;
    const offset = this.take(body);
    return fault === 'answer-lost' ? Err(LOST) : Ok(offset);
  }

  override async read(
    stream: StreamName,
    from: Offset,
    {limit}: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    const bounds = {
      earliest: this.earliest,
      next: this.earliest + this.records.length,
    };
    const fault = this.readFaults.shift();
    if (stream === 'snapshots') {
      const next = this.snapshots.length;
      return Ok({earliest: 0, next, records: this.snapshots.slice(from)});
    }
    if (fault) return Err({code: fault, message: fault});
    if (from < this.earliest) {
      return Err({code: 'trimmed', message: 'trimmed', bounds});
    }
    const start = from - this.earliest;
    return Ok({...bounds, records: this.records.slice(start, start + limit)});
  }

  override async bounds(
    stream: StreamName,
  ): Promise<Result<StreamBounds, LogError>> {
    if (stream === 'snapshots') {
      return Ok({earliest: 0, next: this.snapshots.length});
    }
    const next = this.earliest + this.records.length;
    return Ok({earliest: this.earliest, next});
  }
}

const LOST: LogError = {code: 'outcome-unknown', message: 'answer lost'};
