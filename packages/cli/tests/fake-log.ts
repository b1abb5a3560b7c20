/** A log in memory that can inject faults into the next calls. */

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

/** How an append fails. */
export type AppendFault =
  /** The record is not stored. */
  | 'unavailable'
  /** The record is stored, but the answer is lost. */
  | 'answer-lost'
  /** The record is not stored, but the client sees only a lost answer. */
  | 'request-lost'
  | 'refused';

/** The configuration stream and its snapshots. */
export class FakeLogClient extends LogClient {
  records: LogRecord[] = [];
  private snapshots: LogRecord[] = [];
  earliest = 0;
  /** Faults of the next appends, one per append. */
  appendFaults: AppendFault[] = [];
  /** Fault of all appends after `appendFaults` is used up. */
  lastingFault: AppendFault | undefined;
  /** Errors of the next reads, one per read. Snapshot reads ignore theirs. */
  readFaults: LogErrorCode[] = [];
  /** Called once, before the next append that stores its record. */
  beforeAppend: (() => void) | undefined;

  /** Stores a record, as if another operator had appended it. */
  store(body: string): Offset {
    const offset = this.earliest + this.records.length;
    this.records.push({offset, body});
    return offset;
  }

  /** Writes a snapshot of all records, then removes the records. */
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
    const offset = this.store(body);
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
