/**
 * Decides when a node that started without stored state may serve: once it has
 * read the log to its end, or once it has the highest version known to so many
 * witnesses that it cannot have enforced a higher one before its restart.
 */

import {
  readChart,
  StateChart,
  type ChartEvent,
  type RandomSource,
} from '@turmericmill/utils';

import type {Witnesses} from '../relay/topology.js';
import {WITNESSES_NEEDED} from '../relay/witness-gate.js';

const QUERY_BASE_MS = 200;
const QUERY_CAP_MS = 2000;

/** Phases of the start of a node. */
export type StartState = 'asking' | 'catching-up' | 'settled';

interface StartEvent extends ChartEvent {
  type: 'ANSWERED' | 'ENFORCED' | 'LOG_READ';
}

const CHART = new StateChart<StartState, StartEvent, Readiness>(
  readChart(import.meta.url, './start.chart.json'),
  {
    isCaughtUp: readiness => readiness.isCaughtUp,
    hasEnoughAnswers: readiness => readiness.hasEnoughAnswers,
  },
);

/** Readiness of one node. */
export class Readiness {
  private state: StartState = CHART.initial;
  private readonly answers = new Map<string, number>();
  private version = -1;
  private witnesses: Witnesses = {near: [], far: []};
  private isRelay = false;
  private nextQueryAtMs: number;
  private attempt = 0;

  constructor(
    private readonly random: RandomSource,
    nowMs: number,
  ) {
    this.nextQueryAtMs = nowMs;
  }

  get isSettled(): boolean {
    return this.state === 'settled';
  }

  get startState(): StartState {
    return this.state;
  }

  /**
   * Whether, for each version, one of the nodes that knew of it before it came
   * into force has answered. That is certain once all witnesses in other data
   * centres have answered, as one of them knew of it; or once the witnesses
   * without an answer are fewer than the nodes that knew of it.
   */
  get hasEnoughAnswers(): boolean {
    const {near, far} = this.witnesses;
    if (far.length > 0 && far.every(peer => this.answers.has(peer))) {
      return true;
    }
    const group = [...near, ...far];
    const informedCount = WITNESSES_NEEDED + (this.isRelay ? 0 : 1);
    const maxUnanswered = Math.min(group.length, informedCount) - 1;
    const answered = group.filter(peer => this.answers.has(peer));
    return group.length > 0 && answered.length >= group.length - maxUnanswered;
  }

  /** Whether enough answers arrived and none has a version above this node's. */
  get isCaughtUp(): boolean {
    if (!this.hasEnoughAnswers) return false;
    return Math.max(...this.answers.values()) <= this.version;
  }

  /** Sets the current witnesses of versions. */
  setWitnesses(witnesses: Witnesses, isRelay: boolean): void {
    this.witnesses = witnesses;
    this.isRelay = isRelay;
  }

  /** A settled node answered with the highest version that it knows of. */
  onAnswer(peer: string, knownVersion: number): void {
    const before = this.answers.get(peer) ?? knownVersion;
    this.answers.set(peer, Math.max(before, knownVersion));
    this.transition('ANSWERED');
  }

  /** A version came into force on this node. */
  onEnforced(version: number): void {
    this.version = version;
    this.transition('ENFORCED');
  }

  /** The log was read to its end, and the resulting version is in force. */
  onLogRead(): void {
    this.transition('LOG_READ');
  }

  /** The nodes to query now: witnesses without answer and two local peers. */
  poll(localPeers: readonly string[], nowMs: number): string[] {
    if (this.isSettled || nowMs < this.nextQueryAtMs) return [];
    this.attempt++;
    const delayMs = this.random.jitter(
      QUERY_BASE_MS,
      this.attempt,
      QUERY_CAP_MS,
    );
    this.nextQueryAtMs = nowMs + QUERY_BASE_MS + delayMs;
    const {near, far} = this.witnesses;
    const silent = [...near, ...far].filter(peer => !this.answers.has(peer));
    return [...new Set([...silent, ...this.random.sample(localPeers, 2)])];
  }

  nextDeadlineMs(): number {
    return this.isSettled ? Infinity : this.nextQueryAtMs;
  }

  private transition(type: StartEvent['type']): void {
    this.state = CHART.next(this.state, {type}, this);
  }
}
