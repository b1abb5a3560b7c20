/** Interface to the platform's log service. */

import type {Result} from '@turmericmill/utils';

/** A position in a stream. The first record of a stream has offset 0. */
export type Offset = number;

/** Names of the streams. There is one `claims` stream per partition. */
export type StreamName =
  | 'config'
  | 'snapshots'
  | 'seeds'
  | 'usage'
  | 'quarantine'
  | `claims-${number}`;

/** A record read from a stream. */
export interface LogRecord {
  offset: Offset;
  /** JSON text, as appended. */
  body: string;
}

/** Range of the existing records of a stream: `earliest <= offset < next`. */
export interface StreamBounds {
  earliest: Offset;
  next: Offset;
}

/** A page of records; empty if none was appended within the wait. */
export interface LogPage extends StreamBounds {
  records: LogRecord[];
}

/** Why a call failed, and whether it may have taken effect. */
export type LogErrorCode =
  /** Unreachable or not accepted: an append had no effect. */
  | 'unavailable'
  /** An append may have taken effect; read the stream before repeating it. */
  | 'outcome-unknown'
  /** The requested offset has expired; continue at `bounds.earliest`. */
  | 'trimmed'
  /** The record exceeds the size limit of the log. */
  | 'too-large'
  /** The call is malformed or not permitted. */
  | 'refused';

export interface LogError {
  code: LogErrorCode;
  message: string;
  /** Present if the service reports it, as with `trimmed`. */
  bounds?: StreamBounds;
}

/** Options for reading a page. */
export interface ReadOptions {
  /** Maximum number of records in the page. */
  limit: number;
  /** Maximum time in ms that the log waits for a record before it answers. */
  waitMs: number;
}

/** Client of the log service. */
export abstract class LogClient {
  /** Appends one record of JSON text and returns its offset. */
  abstract append(
    stream: StreamName,
    body: string,
  ): Promise<Result<Offset, LogError>>;

  /** Reads a page of records, starting at offset `from`. */
  abstract read(
    stream: StreamName,
    from: Offset,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>>;

  /** Returns the range of existing offsets. */
  abstract bounds(stream: StreamName): Promise<Result<StreamBounds, LogError>>;
}

/** Maximum size in bytes of the body of a record. */
export const MAX_RECORD_BYTES = 256 * 1024;
