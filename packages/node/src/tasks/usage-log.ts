/** Reads and writes the `usage` stream for a region's collector. */

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

const MAX_ROWS = 50_000;
const PAGE_RECORDS = 100;
const LONG_POLL_MS = 5_000;
const RETRY_BASE_MS = 200;
const RETRY_CAP_MS = 10_000;
const CHECKPOINT_INTERVAL_MS = 30 * 60_000;
/** Rows of a checkpoint's part; well below the size of a record. */
const ROWS_PER_PART = 500;

/** Where the stream is, and who hears of its totals. */
export interface UsageLogParts {
  /** Unique over nodes and their starts. */
  writer: string;
  log: LogClient;
  clock: Clock;
  random: RandomSource;
  /** Shortest time in ms between two appends of rows. */
  appendIntervalMs: number;
  onFolded(ledger: UsageLedger): void;
}

export class UsageLog {
  readonly ledger = new UsageLedger();
  private readonly collector: UsageCollector;
  private readonly checkpoints = new CheckpointAssembler();
  private isPartial = false;
  private hasSkippedCheckpoint = false;
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
    void this.tail();
  }

  stop(): void {
    this.stopped = true;
  }

  take(row: UsageRow): void {
    this.collector.add(row);
  }

  /** Appends what is due; rows in doubt are appended again. */
  async tick(): Promise<void> {
    const now = this.parts.clock.now();
    const body = this.collector.takeDueRecord(now);
    if (body !== undefined) {
      const result = await this.parts.log.append('usage', body);
      this.collector.handleAppend(result.isOk());
    }
    if (now >= this.checkpointAtMs) await this.appendCheckpoint(now);
  }

  /** Sums up nodes that are gone for good; false if that is not certain. */
  async close(nodeIds: readonly string[]): Promise<boolean> {
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
   * A ledger without the stream's start first gives others the time to append
   * a whole checkpoint; if none comes, its own is the best there is.
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

  private async tail(): Promise<void> {
    while (!this.stopped) {
      const options = {limit: PAGE_RECORDS, waitMs: LONG_POLL_MS};
      const page = await this.parts.log.read(
        'usage',
        this.ledger.next,
        options,
      );
      if (this.stopped) return;
      if (page.isErr()) {
        await this.readFailed(page.error);
        continue;
      }
      this.failures = 0;
      for (const {offset, body} of page.value.records) {
        this.ledger.fold(offset, body);
        if (this.isPartial) this.checkpoints.add(body);
      }
      this.restore();
      this.parts.onFolded(this.ledger);
    }
  }

  /** Totals of a stream whose start expired are a lower bound until here. */
  private restore(): void {
    const parts: readonly CheckpointRecord[] = this.checkpoints.parts;
    const through = parts[0]?.through ?? -1;
    if (!this.isPartial || through <= this.restoredThrough) return;
    this.restoredThrough = through;
    this.ledger.restore(parts);
    this.isPartial = false;
  }

  private async readFailed(err: LogError): Promise<void> {
    if (err.code === 'trimmed' && err.bounds) {
      this.isPartial = true;
      this.ledger.skipTo(err.bounds.earliest);
      return;
    }
    const {random} = this.parts;
    const ms = random.jitter(RETRY_BASE_MS, this.failures, RETRY_CAP_MS);
    this.failures += 1;
    await new Promise(resolve => setTimeout(resolve, ms));
  }
}
