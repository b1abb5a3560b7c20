/**
 * Writes of one coordinator: phases at their offset, so that a term has one
 * coordinator, and statuses fenced by the term.
 */

import {
  encodeRolloutStatus,
  ROLLOUT_STATUS_TOPIC,
  rolloutKey,
  type KeyedPage,
  type RolloutStatus,
  type Store,
  type StoreError,
} from '@turmericmill/platform-adapter';
import type {RolloutPhase, WriteOutcome} from '@turmericmill/routing';
import {Err, Ok, type Result} from '@turmericmill/utils';

import {
  encodePhaseRecord,
  parsePhaseRecord,
  type PhaseRecord,
} from './phase-record.js';
import {barredAfter, type Rollout} from './rollout-view.js';

const PHASES_TOPIC = 'keyed.rollouts';
/** Appends per write: other services' records may come in between. */
const MAX_APPENDS = 4;

/** `later-order`: a later order of the service has a record. */
export type TermError = StoreError | {code: 'later-order'};

/** Where a coordinator takes up an order. */
export interface Term {
  record: PhaseRecord;
  /** True if the phase is of an earlier term of the same order. */
  isResumed: boolean;
}

export class PhaseLog {
  private record: PhaseRecord | undefined;
  /** Offset at which the topic ends, as far as is known. */
  private endOffset = 0;
  /** Last status that was sent, and its number within the term. */
  private lastStatus: {status: RolloutStatus; sequence: number} | undefined;

  constructor(
    private readonly store: Store,
    private readonly nodeId: string,
  ) {}

  /** Takes the next term of an order whose terms are known. */
  async takeTerm(
    rollout: Rollout,
    terms: {orderMs: number; limitMs: number},
  ): Promise<Result<Term, TermError>> {
    const page = await this.readPhases();
    if (page.isErr()) return Err(page.error);
    const {service, offset, targetVersion} = rollout;
    const before = newestOf(page.value, service);
    if (before && before.orderOffset > offset) {
      return Err({code: 'later-order'});
    }
    const known = rollout.state?.term ?? 0;
    const term = Math.max(before?.term ?? 0, known) + 1;
    const common = {service, orderOffset: offset, targetVersion, term};
    const {nodeId} = this;
    const isResumed = before?.orderOffset === offset;
    const record: PhaseRecord = isResumed
      ? {
          ...common,
          nodeId,
          phase: before.phase,
          orderMs: Math.min(before.orderMs, terms.orderMs),
          limitMs: Math.min(before.limitMs, terms.limitMs),
          barred: before.barred,
        }
      : {
          ...common,
          nodeId,
          phase: 'trial',
          ...terms,
          barred: before
            ? barredAfter(before, targetVersion)
            : [...rollout.barred],
        };
    this.record = record;
    const appended = await this.append(record);
    if (appended === 'written') return Ok({record, isResumed});
    const code = appended === 'superseded' ? 'fenced' : 'unknown';
    return Err({code, message: 'The term was not taken.'});
  }

  /** Writes a phase of this term. */
  async writePhase(phase: RolloutPhase): Promise<WriteOutcome> {
    if (!this.record) return 'superseded';
    return this.append({...this.record, phase});
  }

  /** Writes a status with the next number, or with its own if it is repeated. */
  async writeStatus(status: RolloutStatus): Promise<WriteOutcome> {
    const {record, lastStatus} = this;
    if (!record) return 'superseded';
    const sequence =
      lastStatus === undefined
        ? 0
        : lastStatus.sequence + (lastStatus.status === status ? 0 : 1);
    this.lastStatus = {status, sequence};
    const {service, targetVersion, term} = record;
    const key = rolloutKey(service);
    const value = encodeRolloutStatus(status, targetVersion);
    const fence = {producer: key, epoch: term, sequence};
    const put = await this.store.put(ROLLOUT_STATUS_TOPIC, key, value, fence);
    if (put.isOk()) return 'written';
    if (put.error.code !== 'fenced') return 'unknown';
    if (put.error.isSuperseded) return 'superseded';
    return this.checkStatus(key, value, {status, sequence});
  }

  /** The number was used before: by this write, or by one that was lost. */
  private async checkStatus(
    key: string,
    value: Buffer,
    last: {status: RolloutStatus; sequence: number},
  ): Promise<WriteOutcome> {
    const page = await this.store.newest(ROLLOUT_STATUS_TOPIC);
    if (page.isErr()) return 'unknown';
    const stored = page.value.records.find(one => one.key === key);
    if (stored && value.equals(stored.value)) return 'written';
    this.lastStatus = {...last, sequence: last.sequence + 1};
    return 'unknown';
  }

  private async readPhases(): Promise<Result<KeyedPage, StoreError>> {
    const page = await this.store.newest(PHASES_TOPIC);
    if (page.isOk()) this.endOffset = page.value.endOffset;
    return page;
  }

  /** Appends at the end of the topic, unless a later term has a record. */
  private async append(record: PhaseRecord): Promise<WriteOutcome> {
    const {service, term, nodeId, phase} = record;
    const value = encodePhaseRecord(record);
    for (let i = 0; i < MAX_APPENDS; i++) {
      const at = this.endOffset;
      const put = await this.store.put(PHASES_TOPIC, service, value, {at});
      if (put.isOk()) {
        this.endOffset = at + 1;
        return 'written';
      }
      if (put.error.code === 'unavailable') return 'unknown';
      // The topic has grown, maybe by this very write.
      const page = await this.readPhases();
      if (page.isErr()) return 'unknown';
      const newest = newestOf(page.value, service);
      if (!newest || newest.term < term) continue;
      if (newest.term > term || newest.nodeId !== nodeId) return 'superseded';
      if (newest.phase === phase) return 'written';
    }
    return 'unknown';
  }
}

function newestOf({records}: KeyedPage, service: string) {
  const record = records.find(({key}) => key === service);
  return record && parsePhaseRecord(record);
}
