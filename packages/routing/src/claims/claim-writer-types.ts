/** Options, effects and inputs of the writer of a partition. */

import type {ClaimReply} from '@turmericmill/wire';

import type {StreamRecord} from './claim-record.js';

export type ClaimWriterState =
  'idle' | 'reading' | 'ready' | 'appending' | 'waiting';

export interface ClaimWriterOptions {
  /** Unique over nodes and their starts. */
  writer: string;
  partition: number;
  /** Time in ms for which a key is remembered; below the log's retention. */
  windowMs: number;
  /**
   * Mean time in ms between two appends to the stream, but for short bursts. Several writers at
   * once each wait that many times as long.
   */
  appendIntervalMs: number;
  /** Bounds of the back-off after a failure in ms. */
  retryBaseMs: number;
  retryCapMs: number;
  maxRecordBytes: number;
  maxQueueBytes: number;
  /** Largest number of keys remembered; beyond it claims are refused. */
  maxKeys: number;
  maxAnswerBytes: number;
}

/** Asks the log for one append or read; exactly one is open at a time. */
export type ClaimWriterEffect =
  | {type: 'append'; partition: number; body: string}
  | {type: 'read'; partition: number; from: number}
  | {type: 'reply'; to: string; reply: ClaimReply};

/** How an append ended; `none` had no effect, `unknown` may have had it. */
export type AppendResult =
  {type: 'ok'; offset: number} | {type: 'none'} | {type: 'unknown'};

/** How a read ended. `expired` tells the earliest offset retained. */
export type ReadResult =
  | {type: 'ok'; records: readonly StreamRecord[]; next: number}
  | {type: 'expired'; earliest: number}
  | {type: 'failed'};
