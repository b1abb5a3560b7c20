/**
 * Follows the configuration stream: starts from the newest snapshot, reads to
 * the end of the log, then reads records as they arrive. If records expired
 * before they were read and no snapshot covers them, it first waits for a
 * snapshot of another reader and then writes one itself, called a bridge.
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

/** Maximum time for which a read waits at the log for new records. */
export const LONG_POLL_MS = 20_000;

const PAGE_RECORDS = 256;
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 5000;

/**
 * Minimum time between the detection of a gap and a bridge. Nodes that read
 * the expired records can write a snapshot in the meantime.
 */
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

/** The outcome of handling a reply of the log. */
export interface FollowerProgress {
  verdicts: Verdict[];
  /** Faults to report to operators. */
  alarms: string[];
}

/** Decides which call to make next and folds the records that it returns. */
export class LogFollower {
  private mode: FollowerMode = CHART.initial;
  private fold = emptyConfigState();
  private locator = new SnapshotLocator();
  private bridgeBodies: string[] = [];
  private pendingCall: LogCall | undefined;
  private nextCallAtMs = 0;
  private attempt = 0;
  private earliest = 0;
  private hasWaitedForGap = false;
  private isCaughtUp = false;

  constructor(
    private readonly random: RandomSource,
    /** Returns the state for a bridge; undefined while there is none. */
    private readonly bridgeState: () => ConfigState | undefined,
    private readonly writer: string,
  ) {}

  get state(): ConfigState {
    return this.fold;
  }

  /** Whether the last read reached the end of the log. */
  get isAtEnd(): boolean {
    return this.isCaughtUp;
  }

  get isRunning(): boolean {
    return this.mode !== 'idle';
  }

  /** Lowest offset in the log at the last read. */
  get earliestOffset(): number {
    return this.earliest;
  }

  /** Whether records expired before they were folded. */
  get isBehindLog(): boolean {
    return this.fold.nextOffset < this.earliest;
  }

  /** Whether the gap persists after waiting for a snapshot. */
  get mayBridge(): boolean {
    return this.isBehindLog && this.hasWaitedForGap;
  }

  start(): void {
    this.locator = new SnapshotLocator();
    this.nextCallAtMs = 0;
    this.transition('START');
  }

  /** Stops reading and discards the state, which would become stale. */
  stop(): void {
    this.transition('STOP');
    this.fold = emptyConfigState();
    this.isCaughtUp = false;
    this.earliest = 0;
    this.hasWaitedForGap = false;
    this.pendingCall = undefined;
  }

  /** The call to make now, if any; pass its result to `onReply`. */
  poll(nowMs: number): LogCall | undefined {
    if (this.pendingCall || nowMs < this.nextCallAtMs) return undefined;
    if (this.mode === 'gap') this.retryLocating();
    this.pendingCall = this.nextCall(nowMs);
    return this.pendingCall;
  }

  nextDeadlineMs(): number {
    if (this.mode === 'idle' || this.pendingCall) return Infinity;
    return this.nextCallAtMs;
  }

  /** Handles the result of the pending call; ignores that of any other. */
  onReply(call: LogCall, result: LogReply, nowMs: number): FollowerProgress {
    const progress: FollowerProgress = {verdicts: [], alarms: []};
    if (call !== this.pendingCall) return progress;
    this.pendingCall = undefined;
    if (this.mode === 'locating') this.onLocatorReply(result, nowMs, progress);
    else if (this.mode === 'tailing') {
      this.onPage(result, nowMs, progress);
    } else if (this.mode === 'bridging') this.onBridgeAppended(result, nowMs);
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
          waitMs: this.isCaughtUp ? LONG_POLL_MS : 0,
        };
      case 'bridging':
        return this.nextBridgeCall(nowMs);
    }
  }

  private nextBridgeCall(nowMs: number): LogCall | undefined {
    if (this.bridgeBodies.length === 0) {
      const state = this.bridgeState();
      if (!state) {
        this.nextCallAtMs = nowMs + BRIDGE_DELAY_MS;
        return undefined;
      }
      const bridged = {...state, nextOffset: this.earliest};
      const header = {writer: this.writer, atMs: nowMs, bridge: true};
      this.bridgeBodies = encodeSnapshot(bridged, header);
    }
    const body = this.bridgeBodies[0] as string;
    return {call: 'append', stream: 'snapshots', body};
  }

  private onBridgeAppended(result: LogReply, nowMs: number): void {
    if (result.isErr()) {
      // The record may have been appended. A repeated record makes readers
      // discard those before it, so all records are appended again.
      this.bridgeBodies = [];
      this.backOff(nowMs);
      return;
    }
    this.bridgeBodies.shift();
    if (this.bridgeBodies.length > 0) return;
    this.locator = new SnapshotLocator();
    this.transition('WRITTEN');
  }

  private onLocatorReply(
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
      this.hasWaitedForGap = false;
      this.transition('FOUND');
      return;
    }
    this.transition('NOT_FOUND');
    if (this.mode !== 'gap') return;
    progress.alarms.push('records expired that no snapshot covers');
    const jitterMs = this.random.next() * BRIDGE_DELAY_MS;
    this.nextCallAtMs = nowMs + BRIDGE_DELAY_MS + jitterMs;
  }

  private onPage(
    result: LogReply,
    nowMs: number,
    progress: FollowerProgress,
  ): void {
    if (result.isErr()) {
      this.onPageError(result.error, nowMs);
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
    this.isCaughtUp = this.fold.nextOffset >= page.next;
  }

  private onPageError(error: LogError, nowMs: number): void {
    if (error.code !== 'trimmed') {
      this.backOff(nowMs);
      return;
    }
    this.isCaughtUp = false;
    this.earliest = error.bounds?.earliest ?? this.fold.nextOffset + 1;
    this.locator = new SnapshotLocator();
    this.transition('TRIMMED');
  }

  private retryLocating(): void {
    this.hasWaitedForGap = true;
    this.locator = new SnapshotLocator();
    this.transition('WAITED');
  }

  private backOff(nowMs: number): void {
    this.attempt++;
    const {random, attempt} = this;
    this.nextCallAtMs =
      nowMs + random.jitter(RETRY_BASE_MS, attempt, RETRY_CAP_MS);
  }

  private transition(type: FollowerEvent['type']): void {
    this.mode = CHART.next(this.mode, {type}, this);
  }
}
