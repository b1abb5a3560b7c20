/** Options, effects and inputs of a partition's writer. */

import type {ClaimReply} from '@turmericmill/wire';

import type {StreamRecord} from './claim-record.js';

export type ClaimWriterState =
  'idle' | 'reading' | 'ready' | 'appending' | 'waiting';

export interface ClaimWriterOptions {
  /** Id of the writer; unique across nodes and their restarts. */
  writer: string;
  partition: number;
  /** Retention time of keys in ms; less than the log's retention. */
  windowMs: number;
  /**
   * Mean time in ms between two appends to the stream, except in short bursts.
   * Each of `n` active writers waits `n` times as long.
   */
  appendIntervalMs: number;
  /** Bounds in ms of the backoff after a failure. */
  retryBaseMs: number;
  retryCapMs: number;
  maxRecordBytes: number;
  maxQueueBytes: number;
  /**
   * Maximum number of claimed keys and released attempts; claims of further
   * keys are refused.
   */
  maxKeys: number;
  maxAnswerBytes: number;
}

/** Effects of a writer. At most one append or read is in progress at a time. */
export type ClaimWriterEffect =
  | {type: 'append'; partition: number; body: string}
  | {type: 'read'; partition: number; from: number}
  | {type: 'reply'; to: string; reply: ClaimReply};

/** Result of an append; `none` had no effect, `unknown` may have had one. */
export type AppendResult =
  {type: 'ok'; offset: number} | {type: 'none'} | {type: 'unknown'};

/** Result of a read; `expired` contains the earliest retained offset. */
export type ReadResult =
  | {type: 'ok'; records: readonly StreamRecord[]; next: number}
  | {type: 'expired'; earliest: number}
  | {type: 'failed'};
