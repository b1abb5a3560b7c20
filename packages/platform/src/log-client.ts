/** What the system asks of the platform's log service. */

import type {Result} from '@turmericmill/utils';

/** A position in a stream. The first record of a stream has offset 0. */
export type Offset = number;

/** Names of the streams that the system keeps. */
export type StreamName =
  | 'config'
  | 'snapshots'
  | 'seeds'
  | 'usage'
  | 'quarantine'
  | `claims-${number}`;

/** One record as read. */
export interface LogRecord {
  offset: Offset;
  /** JSON text, as appended. */
  body: string;
}

/** The records that exist of a stream: `earliest <= offset < next`. */
export interface StreamBounds {
  earliest: Offset;
  next: Offset;
}

/** A page of records. An empty page means that the wait ran out. */
export interface LogPage extends StreamBounds {
  records: LogRecord[];
}

/** Why a call to the log failed, and whether it may have had its effect. */
export type LogErrorCode =
  /** Not reached or not accepted: an append had no effect. */
  | 'unavailable'
  /** An append may have had its effect; look it up before repeating it. */
  | 'outcome-unknown'
  /** The wanted offset has expired; `bounds.earliest` tells where to go on. */
  | 'trimmed'
  /** The record is larger than the log takes. */
  | 'too-large'
  /** The log does not understand or allow the call. */
  | 'refused';

export interface LogError {
  code: LogErrorCode;
  message: string;
  bounds?: StreamBounds;
}

/** How a page is read. */
export interface ReadOptions {
  /** Largest number of records of the page. */
  limit: number;
  /** Longest time in ms that the log holds the call while there is nothing. */
  waitMs: number;
}

/** A client of the log service. */
export abstract class LogClient {
  /** Appends one record of JSON text and returns its offset. */
  abstract append(
    stream: StreamName,
    body: string,
  ): Promise<Result<Offset, LogError>>;

  /** Reads records from `from` on. */
  abstract read(
    stream: StreamName,
    from: Offset,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>>;

  /** Tells which offsets exist. */
  abstract bounds(stream: StreamName): Promise<Result<StreamBounds, LogError>>;
}

/** Largest body of one record in bytes. */
export const MAX_RECORD_BYTES = 256 * 1024;
