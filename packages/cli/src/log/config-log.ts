/** Reads the configuration stream of the log. */

import {
  emptyConfigState,
  foldRecord,
  parsePart,
  type ConfigState,
  type Verdict,
} from '@turmericmill/distribution';
import type {LogClient, LogRecord} from '@turmericmill/platform';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliError} from '../cli-error.js';
import {toCliError} from './log-errors.js';
import {locateSnapshot} from './locate-snapshot.js';

const PAGE_RECORDS = 500;

/** A publication that was accepted or rejected. */
export interface HistoryEntry {
  offset: number;
  id: string;
  team: string;
  author: string;
  base: number;
  message: string;
  verdict: Extract<Verdict, {status: 'accepted' | 'rejected'}>;
}

/**
 * Folds the stream up to its end and records the verdict on each publication.
 * If the beginning of the stream has expired, the fold starts from the newest
 * snapshot; earlier versions and publications are unknown.
 */
export class ConfigLog {
  private current = emptyConfigState();
  private readonly history: HistoryEntry[] = [];
  private readonly statesByVersion = new Map<number, ConfigState>([
    [this.current.version, this.current],
  ]);

  constructor(private readonly client: LogClient) {}

  /** The state after the last record read. */
  get state(): ConfigState {
    return this.current;
  }

  /** Publications that were accepted or rejected, oldest first. */
  get entries(): readonly HistoryEntry[] {
    return this.history;
  }

  /**
   * Returns the state at `version`. It is undefined if there is no such version
   * or if the version is older than the snapshot that the fold started from.
   */
  stateAt(version: number): ConfigState | undefined {
    return this.statesByVersion.get(version);
  }

  /** Returns the entry of publication `id`, if it was accepted or rejected. */
  findEntry(id: string): HistoryEntry | undefined {
    return this.history.find(entry => entry.id === id);
  }

  /** Reads all records up to the end of the stream. */
  async catchUp(): Promise<Result<void, CliError>> {
    for (;;) {
      const from = this.current.nextOffset;
      const options = {limit: PAGE_RECORDS, waitMs: 0};
      const page = await this.client.read('config', from, options);
      if (page.isErr()) {
        const isStartExpired = from === 0 && page.error.code === 'trimmed';
        if (!isStartExpired) return Err(toCliError(page.error));
        const started = await this.startFromSnapshot();
        if (started.isErr()) return started;
        continue;
      }
      for (const record of page.value.records) this.fold(record);
      if (this.current.nextOffset >= page.value.next) return Ok(undefined);
      if (page.value.records.length === 0) return Err(EMPTY_PAGE);
    }
  }

  private async startFromSnapshot(): Promise<Result<void, CliError>> {
    const located = await locateSnapshot(this.client);
    if (located.isErr()) return located;
    this.current = located.value;
    this.statesByVersion.clear();
    this.statesByVersion.set(this.current.version, this.current);
    return Ok(undefined);
  }

  private fold(record: LogRecord): void {
    const {state, verdict} = foldRecord(this.current, record);
    this.current = state;
    this.statesByVersion.set(state.version, state);
    const part = parsePart(record.body);
    if (!part) return;
    if (verdict.status !== 'accepted' && verdict.status !== 'rejected') return;
    const {id, team, author, base, message = ''} = part;
    const {offset} = record;
    this.history.push({offset, id, team, author, base, message, verdict});
  }
}

const EMPTY_PAGE: CliError = {
  exit: 'unreachable',
  message: 'The log service returned an empty page before the end of the log.',
};
