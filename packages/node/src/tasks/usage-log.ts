/** Reads and appends the `usage` stream for the collector of a region. */

import type {LogClient, LogError} from '@turmericmill/platform';
import {MAX_RECORD_BYTES} from '@turmericmill/platform';
import {
  CheckpointAssembler,
  UsageCollector,
  UsageLedger,
  type CheckpointRecord,
  type UsageRow,
} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';

/** Maximum number of rows that wait for their append. */
const MAX_ROWS = 50_000;
/** Maximum number of records per read of the log. */
const PAGE_RECORDS = 100;
/** Time in ms for which a read waits for new records. */
const LONG_POLL_MS = 5_000;
/** Base and cap in ms of the jittered delay after a failed read. */
const RETRY_BASE_MS = 200;
const RETRY_CAP_MS = 10_000;
const CHECKPOINT_INTERVAL_MS = 30 * 60_000;
/** Rows per part of a checkpoint; keeps parts well below the record limit. */
const ROWS_PER_PART = 500;

/** Dependencies of `UsageLog`. */
export interface UsageLogParts {
  /** Writer id; unique across all nodes and their restarts. */
  writer: string;
  log: LogClient;
  clock: Clock;
  random: RandomSource;
  /** Minimum time in ms between two appends of rows. */
  appendIntervalMs: number;
  /** Called after each page of records with the ledger that includes it. */
  onFolded(ledger: UsageLedger): void;
}

export class UsageLog {
  readonly ledger = new UsageLedger();
  private readonly collector: UsageCollector;
  private readonly checkpoints = new CheckpointAssembler();
  /** True if records expired unread and no checkpoint was restored since. */
  private isPartial = false;
  private hasSkippedCheckpoint = false;
  /** Offset up to which the restored checkpoint covers the stream, or -1. */
  private restoredThrough = -1;
  private failures = 0;
  private stopped = false;
  private checkpointAtMs: number;

  constructor(private readonly parts: UsageLogParts) {
    this.collector = new UsageCollector({
      appendIntervalMs: parts.appendIntervalMs,
      maxRecordBytes: MAX_RECORD_BYTES,
      maxRows: MAX_ROWS,
    });
    this.checkpointAtMs = parts.clock.now() + CHECKPOINT_INTERVAL_MS;
  }

  start(): void {
    void this.followStream();
  }

  stop(): void {
    this.stopped = true;
  }

  add(row: UsageRow): void {
    this.collector.add(row);
  }

  /**
   * Appends the rows and the checkpoint that are due. Rows whose append failed
   * or has an unknown outcome are appended again.
   */
  async tick(): Promise<void> {
    const now = this.parts.clock.now();
    const body = this.collector.takeDueRecord(now);
    if (body !== undefined) {
      const result = await this.parts.log.append('usage', body);
      this.collector.handleAppend(result.isOk());
    }
    if (now >= this.checkpointAtMs) await this.appendCheckpoint(now);
  }

  /**
   * Appends a record that makes the counts of these nodes final. Returns false
   * if the append failed or has an unknown outcome.
   */
  async closeRows(nodeIds: readonly string[]): Promise<boolean> {
    const nodes = nodeIds.flatMap(nodeId => {
      const incarnation = this.ledger.openIncarnation(nodeId);
      return incarnation === undefined ? [] : [{nodeId, incarnation}];
    });
    if (nodes.length === 0) return true;
    const record = {type: 'close', atMs: this.parts.clock.now(), nodes};
    const result = await this.parts.log.append('usage', JSON.stringify(record));
    return result.isOk();
  }

  /**
   * Appends a checkpoint. If the ledger lacks the stream's start, the first
   * checkpoint is skipped, so that another collector can append a complete one.
   * If none does, the incomplete checkpoint is appended.
   */
  private async appendCheckpoint(nowMs: number): Promise<void> {
    this.checkpointAtMs = nowMs + CHECKPOINT_INTERVAL_MS;
    if (this.isPartial && !this.hasSkippedCheckpoint) {
      this.hasSkippedCheckpoint = true;
      return;
    }
    const id = `${this.parts.writer}.${this.ledger.next}`;
    for (const part of this.ledger.checkpoint(id, ROWS_PER_PART)) {
      await this.parts.log.append('usage', JSON.stringify(part));
    }
  }

  private async followStream(): Promise<void> {
    while (!this.stopped) {
      const options = {limit: PAGE_RECORDS, waitMs: LONG_POLL_MS};
      const page = await this.parts.log.read(
        'usage',
        this.ledger.next,
        options,
      );
      if (this.stopped) return;
      if (page.isErr()) {
        await this.handleReadError(page.error);
        continue;
      }
      this.failures = 0;
      for (const {offset, body} of page.value.records) {
        this.ledger.fold(offset, body);
        if (this.isPartial) this.checkpoints.add(body);
      }
      this.restoreCheckpoint();
      this.parts.onFolded(this.ledger);
    }
  }

  /**
   * Restores the newest checkpoint if the stream's start expired. Before that,
   * the totals are a lower bound.
   */
  private restoreCheckpoint(): void {
    const parts: readonly CheckpointRecord[] = this.checkpoints.parts;
    const through = parts[0]?.through ?? -1;
    if (!this.isPartial || through <= this.restoredThrough) return;
    this.restoredThrough = through;
    this.ledger.restore(parts);
    this.isPartial = false;
  }

  private async handleReadError(err: LogError): Promise<void> {
    if (err.code === 'trimmed' && err.bounds) {
      this.isPartial = true;
      this.ledger.skipTo(err.bounds.earliest);
      return;
    }
    const {random} = this.parts;
    const delayMs = random.jitter(RETRY_BASE_MS, this.failures, RETRY_CAP_MS);
    this.failures += 1;
    await new Promise(resolve => setTimeout(resolve, delayMs));
  }
}
