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
  private group: readonly string[] = [];
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
   * came into force anywhere below the relay that read it.
   */
  get hasEnoughAnswers(): boolean {
    const size = this.group.length;
    const informed = WITNESSES_NEEDED + (this.isRelay ? 0 : 1);
    const needed = Math.max(1, size - Math.min(size, informed) + 1);
    const answered = this.group.filter(peer => this.answers.has(peer));
    return size > 0 && answered.length >= needed;
  }

  /** Whether no answer told of a version above the own one. */
  get isCaughtUp(): boolean {
    if (!this.hasEnoughAnswers) return false;
    return Math.max(...this.answers.values()) <= this.version;
  }

  /** Takes over who witnesses versions now. */
  setGroup(group: readonly string[], isRelay: boolean): void {
    this.group = group;
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
    const silent = this.group.filter(peer => !this.answers.has(peer));
    return [...new Set([...silent, ...this.random.sample(others, 2)])];
  }

  nextDeadlineMs(): number {
    return this.isSettled ? Infinity : this.askAtMs;
  }

  private move(type: StartEvent['type']): void {
    this.state = CHART.next(this.state, {type}, this);
  }
}
