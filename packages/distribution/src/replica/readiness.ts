/**
 * When a node that starts without memory may serve: once it has read to the
 * end of the log, or has the highest version known to so many of the nodes
 * that witness versions that it cannot have enforced a higher one before.
 */

import {
  readChart,
  StateChart,
  type ChartEvent,
  type RandomSource,
} from '@turmericmill/utils';

import type {Witnesses} from '../relay/topology.js';
import {WITNESSES_NEEDED} from '../relay/witness-gate.js';

const ASK_BASE_MS = 200;
const ASK_CAP_MS = 5000;

/** How far a node has come with its start. */
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

/** The start of one node. */
export class Readiness {
  private state: StartState = CHART.initial;
  private readonly answers = new Map<string, number>();
  private version = -1;
  private witnesses: Witnesses = {near: [], far: []};
  private isRelay = false;
  private askAtMs: number;
  private attempt = 0;

  constructor(
    private readonly random: RandomSource,
    nowMs: number,
  ) {
    this.askAtMs = nowMs;
  }

  get isSettled(): boolean {
    return this.state === 'settled';
  }

  get startState(): StartState {
    return this.state;
  }

  /**
   * Enough answers to meet every set of nodes that knew of a version before it
   * came into force: all witnesses of other data centres, of which one always
   * knew, or so many of all that the others are too few.
   */
  get hasEnoughAnswers(): boolean {
    const {near, far} = this.witnesses;
    if (far.length > 0 && far.every(peer => this.answers.has(peer))) {
      return true;
    }
    const group = [...near, ...far];
    const informed = WITNESSES_NEEDED + (this.isRelay ? 0 : 1);
    const spare = Math.min(group.length, informed) - 1;
    const answered = group.filter(peer => this.answers.has(peer));
    return group.length > 0 && answered.length >= group.length - spare;
  }

  /** Whether no answer told of a version above the own one. */
  get isCaughtUp(): boolean {
    if (!this.hasEnoughAnswers) return false;
    return Math.max(...this.answers.values()) <= this.version;
  }

  /** Takes over who witnesses versions now. */
  setWitnesses(witnesses: Witnesses, isRelay: boolean): void {
    this.witnesses = witnesses;
    this.isRelay = isRelay;
  }

  /** A settled node answered with the highest version it knows. */
  onAnswer(peer: string, known: number): void {
    const before = this.answers.get(peer) ?? known;
    this.answers.set(peer, Math.max(before, known));
    this.move('ANSWERED');
  }

  /** A version came into force here. */
  onEnforced(version: number): void {
    this.version = version;
    this.move('ENFORCED');
  }

  /** The log was read to its end and the result is in force. */
  onLogRead(): void {
    this.move('LOG_READ');
  }

  /** The nodes to ask now. */
  poll(others: readonly string[], nowMs: number): string[] {
    if (this.isSettled || nowMs < this.askAtMs) return [];
    this.attempt++;
    const delayMs = this.random.jitter(ASK_BASE_MS, this.attempt, ASK_CAP_MS);
    this.askAtMs = nowMs + ASK_BASE_MS + delayMs;
    const {near, far} = this.witnesses;
    const silent = [...near, ...far].filter(peer => !this.answers.has(peer));
    return [...new Set([...silent, ...this.random.sample(others, 2)])];
  }

  nextDeadlineMs(): number {
    return this.isSettled ? Infinity : this.askAtMs;
  }

  private move(type: StartEvent['type']): void {
    this.state = CHART.next(this.state, {type}, this);
  }
}
