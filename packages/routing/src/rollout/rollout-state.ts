/**
 * State machine of one order at its coordinator: a pure reducer.
 *
 * Load pattern: traffic that goes on while servers, nodes and the store fail. A
 * version is taken out of traffic at once, without the store; it is completed
 * only after the store has the phase.
 */

import {judgeVersion, SUSPICION_LIMIT} from './version-judge.js';
import {
  exposureLeft,
  planRollout,
  trialServers,
  trialShare,
  type TrialUsage,
} from './rollout-plan.js';
import type {
  RolloutCourse,
  RolloutEffect,
  RolloutInput,
  RolloutPhase,
  RolloutRecord,
  RolloutState,
  RolloutStatus,
  RolloutTerms,
  WriteOutcome,
} from './rollout-types.js';
import {EvidenceLedger} from './version-evidence.js';

/** Interval in ms at which an unchanged state is published again. */
const PUBLISH_INTERVAL_MS = 1_000;
/** Wait in ms before a write without an answer is repeated. */
const REPEAT_MS = 200;
/** Interval in ms at which the share follows the counts; 0 comes at once. */
const SHARE_INTERVAL_MS = 500;
/** Samples without which a version with traffic is not completed. */
const MIN_SAMPLES = 10;
/** Requests of the service below which it counts as idle. */
const IDLE_REQUESTS = 100;
/** Time in ms of full traffic whose answers show a version bad under load. */
const CLEAR_TRAFFIC_MS = 250;
/** Answers that are waited for in the closing where the rate is low. */
const CLEAR_SAMPLES = 30;
/** Time in ms, if exposure lasts, after which fewer of them suffice. */
const CLEAR_MS = 900;

const STATUS_OF_PHASE: Record<RolloutPhase, RolloutStatus> = {
  trial: 'running',
  closing: 'running',
  completed: 'completed',
  'rolled-back': 'rolled_back',
};

/** A course after an input, with the effects in their order. */
export interface RolloutStep {
  course: RolloutCourse;
  effects: readonly RolloutEffect[];
}

/** The course of an order that is taken up at a term. */
export function newCourse(terms: RolloutTerms): RolloutCourse {
  const {order, bounds, term} = terms;
  return {
    order,
    bounds,
    plan: planRollout(terms),
    ledger: new EvidenceLedger(order.service, order.offset),
    state: {
      service: order.service,
      orderOffset: order.offset,
      targetVersion: order.targetVersion,
      term,
      sequence: 0,
      phase: 'trial',
      share: 0,
      servers: [],
    },
    ended: false,
    closedServers: [],
    judgedRevision: 0,
    shareAtMs: 0,
    writes: [],
    repeatAtMs: Infinity,
    publishAtMs: Infinity,
  };
}

/**
 * Applies an input at `nowMs` by the coordinator's steady clock. The ledger of
 * the course is updated in place; the course is otherwise replaced.
 */
export function reduceRollout(
  course: RolloutCourse,
  input: RolloutInput,
  nowMs: number,
): RolloutStep {
  if (course.ended) return {course, effects: []};
  const step = new Step(course, nowMs);
  step.apply(input);
  return {course: step.course, effects: step.effects};
}

/** Applies one input; collects the effects. */
class Step {
  readonly effects: RolloutEffect[] = [];

  constructor(
    public course: RolloutCourse,
    private readonly nowMs: number,
  ) {}

  apply(input: RolloutInput): void {
    const {course} = this;
    switch (input.kind) {
      case 'started':
        this.start(input.phase);
        break;
      case 'servers':
        this.course = {...course, servers: {old: input.old, new: input.new}};
        break;
      case 'evidence':
        course.ledger.accept(input.report, this.nowMs);
        break;
      case 'closed': {
        const closed = new Set([...course.closedServers, input.server]);
        this.course = {...course, closedServers: [...closed]};
        break;
      }
      case 'stored':
        this.stored(input.outcome);
        break;
      case 'store-returned':
        this.write({topic: 'phase', phase: course.state.phase});
        this.writeStatus(course.state.phase);
        break;
      case 'tick':
        this.tick();
        break;
    }
  }

  private start(phase: RolloutPhase = 'trial'): void {
    if (phase === 'closing') this.beginClosing();
    else this.publish({phase, share: phase === 'completed' ? 1 : 0});
    this.writeStatus(phase);
    this.log(`takes up the order in phase ${phase}`);
  }

  private tick(): void {
    const {phase} = this.course.state;
    if (phase === 'trial' || phase === 'closing') {
      this.judge();
      if (!this.isCompleting()) {
        if (phase === 'trial') this.tickTrial();
        else this.tickClosing();
      }
    }
    const {repeatAtMs, publishAtMs} = this.course;
    if (this.nowMs >= repeatAtMs) this.sendFirstWrite();
    if (this.nowMs >= publishAtMs) this.publish({});
  }

  private tickTrial(): void {
    const {plan, judgement, writes} = this.course;
    if (judgement?.verdict === 'bad') {
      this.rollBack('judged bad');
    } else if (this.nowMs >= plan.statusByMs) {
      this.rollBack('no time is left');
    } else if (this.nowMs < plan.decideMs) {
      this.adjustShare();
    } else if (!writes.some(isPhase('closing'))) {
      this.decide();
    } else if (this.nowMs >= plan.decideMs + SHARE_INTERVAL_MS) {
      // The store is slow or down: the exposure left is kept for the closing.
      this.adjustShare();
    }
  }

  /** Decides at the plan's time; what is not cleared of suspicion goes back. */
  private decide(): void {
    const {servers, judgement, ledger} = this.course;
    const {old, new: added} = ledger.totals();
    const samples = judgement?.samples ?? 0;
    if (!servers || servers.new.length === 0) {
      this.rollBack('no server of the version came');
    } else if ((judgement?.suspicion ?? 0) >= SUSPICION_LIMIT) {
      this.rollBack('suspicious at the time of decision');
    } else if (samples < MIN_SAMPLES && old + added >= IDLE_REQUESTS) {
      this.rollBack('too few answers to decide on');
    } else {
      this.log('closes the old servers');
      this.write({topic: 'phase', phase: 'closing'});
    }
  }

  private tickClosing(): void {
    const {judgement, plan, servers} = this.course;
    this.clear();
    const cleared = this.course.closing?.cleared ?? false;
    if (judgement?.verdict === 'bad') this.rollBack('judged bad');
    else if (this.nowMs >= plan.statusByMs) this.rollBack('no time is left');
    else if (servers?.new.length === 0) this.rollBack('new servers are gone');
    else if (!cleared && this.closingLeft() <= 0) {
      this.rollBack('exposure is used up before enough answers came');
    } else if (cleared && this.allClosed()) {
      this.log('completes the roll-out');
      this.write({topic: 'phase', phase: 'completed'});
      this.writeStatus('completed');
    }
  }

  /** Notes when answers at full traffic have come and are not suspicious. */
  private clear(): void {
    const {closing, judgement} = this.course;
    if (!closing || !judgement) return;
    const atRate = (this.usage().requestsPerS * CLEAR_TRAFFIC_MS) / 1_000;
    const isLate =
      this.nowMs >= closing.sinceMs + CLEAR_MS || this.closingLeft() <= 0;
    const needed = isLate ? atRate : Math.max(CLEAR_SAMPLES, atRate);
    const isEnough = judgement.samples - closing.samples >= needed;
    const cleared = isEnough && judgement.suspicion < SUSPICION_LIMIT;
    this.course = {...this.course, closing: {...closing, cleared}};
  }

  private allClosed(): boolean {
    const {servers, closedServers} = this.course;
    return servers?.old.every(key => closedServers.includes(key)) ?? false;
  }

  /**
   * Exposure left in the closing. Two estimates of the uncounted requests are
   * upper bounds: by the age of the counts, and by the time since it began.
   */
  private closingLeft(): number {
    const {bounds, closing} = this.course;
    const usage = this.usage();
    if (!closing) return 0;
    const {totals, requestsPerS} = usage;
    const elapsedS = (this.nowMs - closing.sinceMs) / 1_000;
    const byTime = closing.newRequests + requestsPerS * elapsedS;
    const bound =
      bounds.exposureShare * (totals.old + totals.new) + bounds.exposureSlack;
    return Math.max(exposureLeft(bounds, usage), bound - byTime);
  }

  private adjustShare(): void {
    const {bounds, plan, servers, state} = this.course;
    const shareDueMs = this.course.shareAtMs;
    if (!servers || servers.new.length === 0) {
      if (state.share > 0) this.publish({share: 0, servers: []});
      return;
    }
    const share = trialShare(plan, bounds, this.usage(), this.nowMs);
    if (share === 0 ? state.share === 0 : this.nowMs < shareDueMs) return;
    const chosen = trialServers(plan, share, servers.new, this.nowMs);
    const shareAtMs = this.nowMs + SHARE_INTERVAL_MS;
    this.course = {...this.course, shareAtMs};
    this.publish({share, servers: chosen});
  }

  private usage(): TrialUsage {
    const {ledger, plan, state} = this.course;
    const totals = ledger.totals();
    const elapsedS = Math.max(1, this.nowMs - plan.orderMs) / 1_000;
    const requestsPerS = (totals.old + totals.new) / elapsedS;
    const countedAtMs = ledger.countedAtMs(this.nowMs) ?? plan.orderMs;
    const countsAgeMs = this.nowMs - countedAtMs;
    return {totals, requestsPerS, share: state.share, countsAgeMs};
  }

  private beginClosing(): void {
    const {totals, requestsPerS, share} = this.usage();
    const newRequests = totals.new + share * requestsPerS;
    const samples = this.course.judgement?.samples ?? 0;
    const closing = {
      sinceMs: this.nowMs,
      newRequests,
      samples,
      cleared: false,
    };
    this.course = {...this.course, closing, closedServers: []};
    this.publish({phase: 'closing', share: 1, servers: []});
  }

  private rollBack(reason: string): void {
    this.log(`rolls back: ${reason}`);
    this.publish({phase: 'rolled-back', share: 0, servers: []});
    this.write({topic: 'phase', phase: 'rolled-back'});
    this.writeStatus('rolled-back');
  }

  private stored(outcome: WriteOutcome): void {
    const [record, ...writes] = this.course.writes;
    if (outcome === 'superseded') {
      this.log('ends: a later coordinator has written');
      this.course = {...this.course, ended: true};
    } else if (outcome === 'unknown') {
      this.course = {...this.course, repeatAtMs: this.nowMs + REPEAT_MS};
    } else if (record) {
      this.course = {...this.course, writes, repeatAtMs: Infinity};
      if (writes.length > 0) this.sendFirstWrite();
      this.written(record);
    }
  }

  private written(record: RolloutRecord): void {
    const {phase} = this.course.state;
    if (record.topic === 'phase') {
      if (record.phase === 'closing' && phase === 'trial') this.beginClosing();
    } else if (record.status === 'completed' && phase === 'closing') {
      this.publish({phase: 'completed', share: 1});
    }
  }

  /** True once `completed` may be in the store; there is no way back then. */
  private isCompleting(): boolean {
    return this.course.writes.some(
      record => record.topic === 'status' && record.status === 'completed',
    );
  }

  private writeStatus(phase: RolloutPhase): void {
    this.write({topic: 'status', status: STATUS_OF_PHASE[phase]});
  }

  private write(record: RolloutRecord): void {
    const writes = [...this.course.writes, record];
    this.course = {...this.course, writes};
    if (writes.length === 1) this.sendFirstWrite();
  }

  private sendFirstWrite(): void {
    const [record] = this.course.writes;
    this.course = {...this.course, repeatAtMs: Infinity};
    if (record) this.effects.push({kind: 'write', record});
  }

  private publish(change: Partial<RolloutState>): void {
    const {state} = this.course;
    const next = {...state, ...change, sequence: state.sequence + 1};
    const publishAtMs = this.nowMs + PUBLISH_INTERVAL_MS;
    this.course = {...this.course, state: next, publishAtMs};
    this.effects.push({kind: 'publish', state: next});
  }

  /** Judges the version anew if there is new evidence. */
  private judge(): void {
    const {ledger, judgedRevision} = this.course;
    if (ledger.revision === judgedRevision) return;
    const judgement = judgeVersion(ledger.evidence(), this.nowMs);
    this.course = {
      ...this.course,
      judgement,
      judgedRevision: ledger.revision,
    };
  }

  private log(message: string): void {
    const {judgement, state} = this.course;
    const text = `roll-out of ${state.service}: ${message}`;
    this.effects.push({kind: 'log', message: text, judgement});
  }
}

function isPhase(phase: RolloutPhase): (record: RolloutRecord) => boolean {
  return record => record.topic === 'phase' && record.phase === phase;
}
