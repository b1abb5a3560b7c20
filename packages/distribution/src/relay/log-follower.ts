/**
 * Reads the configuration stream: from the newest snapshot to the end, then as
 * records arrive. Where records expired unread and no snapshot covers them, it
 * waits for another reader's snapshot and in the end writes a bridge.
 */

import type {LogError, LogPage} from '@turmericmill/platform';
import {
  readChart,
  StateChart,
  type ChartEvent,
  type RandomSource,
} from '@turmericmill/utils';

import {emptyConfigState} from '../fold/config-state.js';
import type {ConfigState} from '../fold/config-state.js';
import {foldRecord} from '../fold/fold-record.js';
import type {Verdict} from '../fold/fold-record.js';
import type {LogCall, LogReply} from './log-call.js';
import {SnapshotLocator} from './snapshot-locator.js';
import {encodeSnapshot} from './snapshot-record.js';

/** Longest time that the log holds a read while nothing arrives. */
export const LONG_POLL_MS = 20_000;

const PAGE_RECORDS = 256;
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 5000;

/** How long a gap is left to those who may have read the lost records. */
export const BRIDGE_DELAY_MS = 10_000;

type FollowerMode = 'idle' | 'locating' | 'tailing' | 'gap' | 'bridging';

interface FollowerEvent extends ChartEvent {
  type:
    'START' | 'STOP' | 'FOUND' | 'NOT_FOUND' | 'TRIMMED' | 'WAITED' | 'WRITTEN';
}

const CHART = new StateChart<FollowerMode, FollowerEvent, LogFollower>(
  readChart(import.meta.url, './log-follower.chart.json'),
  {
    isBridging: follower => follower.mayBridge,
    isBehindLog: follower => follower.isBehindLog,
  },
);

/** What a result of the log led to. */
export interface FollowerProgress {
  verdicts: Verdict[];
  /** Findings for the operators. */
  alarms: string[];
}

/** Decides what to read next and folds what was read. */
export class LogFollower {
  private mode: FollowerMode = CHART.initial;
  private fold = emptyConfigState();
  private locator = new SnapshotLocator();
  private bridge: string[] = [];
  private pending: LogCall | undefined;
  private notBeforeMs = 0;
  private attempt = 0;
  private earliest = 0;
  private waitedForGap = false;
  private caughtUp = false;

  constructor(
    private readonly random: RandomSource,
    /** State to bridge a gap with, or undefined while none is known. */
    private readonly bridgeState: () => ConfigState | undefined,
    private readonly writer: string,
  ) {}

  get state(): ConfigState {
    return this.fold;
  }

  /** Whether the last read reached the end of the log. */
  get atEnd(): boolean {
    return this.caughtUp;
  }

  get isRunning(): boolean {
    return this.mode !== 'idle';
  }

  /** Lowest offset that the log still had when it was last read. */
  get earliestOffset(): number {
    return this.earliest;
  }

  /** Whether records that were not folded have expired. */
  get isBehindLog(): boolean {
    return this.fold.nextOffset < this.earliest;
  }

  /** Whether the gap was waited for in vain. */
  get mayBridge(): boolean {
    return this.isBehindLog && this.waitedForGap;
  }

  start(): void {
    this.locator = new SnapshotLocator();
    this.notBeforeMs = 0;
    this.move('START');
  }

  /** Stops and forgets the state, which is of no use once it lags. */
  stop(): void {
    this.move('STOP');
    this.fold = emptyConfigState();
    this.caughtUp = false;
    this.earliest = 0;
    this.waitedForGap = false;
    this.pending = undefined;
  }

  /** The call to make now, if any; its result goes to `take`. */
  poll(nowMs: number): LogCall | undefined {
    if (this.pending || nowMs < this.notBeforeMs) return undefined;
    if (this.mode === 'gap') this.retryLocating();
    this.pending = this.nextCall(nowMs);
    return this.pending;
  }

  nextDeadlineMs(): number {
    if (this.mode === 'idle' || this.pending) return Infinity;
    return this.notBeforeMs;
  }

  /** Takes the result of the last call; that of an earlier one is ignored. */
  take(call: LogCall, result: LogReply, nowMs: number): FollowerProgress {
    const progress: FollowerProgress = {verdicts: [], alarms: []};
    if (call !== this.pending) return progress;
    this.pending = undefined;
    if (this.mode === 'locating') this.takeSnapshot(result, nowMs, progress);
    else if (this.mode === 'tailing') {
      this.takePage(result, nowMs, progress);
    } else if (this.mode === 'bridging') this.takeAppend(result, nowMs);
    return progress;
  }

  private nextCall(nowMs: number): LogCall | undefined {
    switch (this.mode) {
      case 'idle':
      case 'gap':
        return undefined;
      case 'locating':
        return this.locator.nextCall();
      case 'tailing':
        return {
          call: 'read',
          stream: 'config',
          from: this.fold.nextOffset,
          limit: PAGE_RECORDS,
          waitMs: this.caughtUp ? LONG_POLL_MS : 0,
        };
      case 'bridging':
        return this.nextBridgeCall(nowMs);
    }
  }

  private nextBridgeCall(nowMs: number): LogCall | undefined {
    if (this.bridge.length === 0) {
      const state = this.bridgeState();
      if (!state) {
        this.notBeforeMs = nowMs + BRIDGE_DELAY_MS;
        return undefined;
      }
      const bridged = {...state, nextOffset: this.earliest};
      const header = {writer: this.writer, atMs: nowMs, bridge: true};
      this.bridge = encodeSnapshot(bridged, header);
    }
    const body = this.bridge[0] as string;
    return {call: 'append', stream: 'snapshots', body};
  }

  private takeAppend(result: LogReply, nowMs: number): void {
    if (result.isErr()) {
      // A repeated record starts the snapshot anew, so that all are repeated.
      this.bridge = [];
      this.backOff(nowMs);
      return;
    }
    this.bridge.shift();
    if (this.bridge.length > 0) return;
    this.locator = new SnapshotLocator();
    this.move('WRITTEN');
  }

  private takeSnapshot(
    result: LogReply,
    nowMs: number,
    progress: FollowerProgress,
  ): void {
    const located = this.locator.onReply(result);
    if (!located) return;
    if (located.outcome === 'failed') {
      this.locator = new SnapshotLocator();
      this.backOff(nowMs);
      return;
    }
    this.attempt = 0;
    const state =
      located.outcome === 'found' ? located.snapshot.state : undefined;
    if (state && state.nextOffset >= this.earliest) {
      if (state.nextOffset > this.fold.nextOffset) this.fold = state;
      this.waitedForGap = false;
      this.move('FOUND');
      return;
    }
    this.move('NOT_FOUND');
    if (this.mode !== 'gap') return;
    progress.alarms.push('records expired that no snapshot covers');
    const spreadMs = this.random.next() * BRIDGE_DELAY_MS;
    this.notBeforeMs = nowMs + BRIDGE_DELAY_MS + spreadMs;
  }

  private takePage(
    result: LogReply,
    nowMs: number,
    progress: FollowerProgress,
  ): void {
    if (result.isErr()) {
      this.takePageError(result.error, nowMs);
      return;
    }
    const page = result.value as LogPage;
    this.attempt = 0;
    this.earliest = page.earliest;
    for (const record of page.records) {
      const step = foldRecord(this.fold, record);
      this.fold = step.state;
      progress.verdicts.push(step.verdict);
    }
    this.caughtUp = this.fold.nextOffset >= page.next;
  }

  private takePageError(error: LogError, nowMs: number): void {
    if (error.code !== 'trimmed') {
      this.backOff(nowMs);
      return;
    }
    this.caughtUp = false;
    this.earliest = error.bounds?.earliest ?? this.fold.nextOffset + 1;
    this.locator = new SnapshotLocator();
    this.move('TRIMMED');
  }

  private retryLocating(): void {
    this.waitedForGap = true;
    this.locator = new SnapshotLocator();
    this.move('WAITED');
  }

  private backOff(nowMs: number): void {
    this.attempt++;
    const {random, attempt} = this;
    this.notBeforeMs =
      nowMs + random.jitter(RETRY_BASE_MS, attempt, RETRY_CAP_MS);
  }

  private move(type: FollowerEvent['type']): void {
    this.mode = CHART.next(this.mode, {type}, this);
  }
}
