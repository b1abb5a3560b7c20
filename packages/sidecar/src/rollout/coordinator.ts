/** Runs the course of one order at its coordinator. */

import type {Store} from '@turmericmill/platform-adapter';
import {
  newCourse,
  reduceRollout,
  type NodeEvidence,
  type RolloutBounds,
  type RolloutCourse,
  type RolloutEffect,
  type RolloutInput,
  type RolloutRecord,
  type RolloutServers,
} from '@turmericmill/routing';
import {sleep, type Clock, type RandomSource} from '@turmericmill/utils';
import type {RolloutClosed, RolloutState} from '@turmericmill/wire';
import type Logger from 'bunyan';

import {PhaseLog} from './phase-log.js';
import type {Rollout} from './rollout-view.js';

/** Interval in ms of the inputs that carry only time. */
const TICK_MS = 100;
/** Base and cap in ms of the jittered delay between attempts at a term. */
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 1_000;
/** Time in ms for which a settled state is repeated without being asked for. */
const SETTLED_REPEAT_MS = 3_000;

export interface CoordinatorParts {
  nodeId: string;
  store: Store;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  bounds: RolloutBounds;
  /** Longest time in ms that calls of the service take. */
  longestCallMs(service: string): number;
  /** Servers of the service in the view; undefined while it is not whole. */
  servers(rollout: Rollout): RolloutServers | undefined;
  /** Applies a state at this node and sends it to all others. */
  publish(state: RolloutState): void;
}

export class Coordinator {
  private readonly phaseLog: PhaseLog;
  private course: RolloutCourse | undefined;
  private barred: readonly string[] = [];
  private timer: NodeJS.Timeout | undefined;
  /** Time in ms from which a settled state is no longer repeated. */
  private quietFromMs = Infinity;
  private ended = false;

  constructor(
    readonly rollout: Rollout,
    private readonly parts: CoordinatorParts,
  ) {
    this.phaseLog = new PhaseLog(parts.store, parts.nodeId);
  }

  /** True once another node is or has to be the coordinator. */
  get hasEnded(): boolean {
    return this.ended || (this.course?.ended ?? false);
  }

  /** Term of this coordinator; 0 before it is taken. */
  get term(): number {
    return this.course?.state.term ?? 0;
  }

  /** State in force; undefined before the term is taken. */
  get state(): RolloutState | undefined {
    const {course, barred, isSettled} = this;
    if (!course) return undefined;
    return {
      ...course.state,
      ...(barred.length > 0 && {barred}),
      ...(isSettled && {isSettled}),
    };
  }

  start(): void {
    void this.run();
  }

  end(): void {
    this.ended = true;
    clearInterval(this.timer);
  }

  addEvidence(report: NodeEvidence): void {
    this.apply({kind: 'evidence', report});
  }

  /** Takes in that an old server is closed by a state of this term. */
  addClosed({term, server}: RolloutClosed): void {
    if (term === this.term) this.apply({kind: 'closed', server});
  }

  /** The store has lost records: they are written again. */
  onStoreReturned(): void {
    if (!this.course) return;
    this.apply({kind: 'store-returned'});
    this.startTicks();
  }

  /** True once the final state and its status are in the store. */
  private get isSettled(): boolean {
    const {course} = this;
    if (!course || course.writes.length > 0) return false;
    const {phase} = course.state;
    return phase === 'completed' || phase === 'rolled-back';
  }

  private async run(): Promise<void> {
    const {random, logger, bounds} = this.parts;
    const {service, offset, targetVersion, terms} = this.rollout;
    if (!terms) return;
    const limitMs = Math.round(terms.limitMs);
    const orderMs = Math.round(terms.limitMs - terms.durationMs);
    for (let failures = 0; !this.hasEnded; failures++) {
      const term = await this.phaseLog.takeTerm(this.rollout, {
        orderMs,
        limitMs,
      });
      if (this.hasEnded) return;
      if (term.isOk()) {
        const {record, isResumed} = term.value;
        this.barred = record.barred;
        this.course = newCourse({
          order: {service, offset, targetVersion},
          bounds,
          term: record.term,
          orderMs: record.orderMs,
          limitMs: record.limitMs,
          longestCallMs: this.parts.longestCallMs(service),
        });
        const {phase} = record;
        logger.info({...record, isResumed}, 'roll-out: term taken');
        this.apply(isResumed ? {kind: 'started', phase} : {kind: 'started'});
        this.startTicks();
        return;
      }
      const {code} = term.error;
      logger.info({service, offset, code}, 'roll-out: term not taken');
      if (code === 'later-order' || code === 'fenced') {
        this.end();
        return;
      }
      const jitterMs = random.jitter(RETRY_BASE_MS, failures, RETRY_CAP_MS);
      await sleep(Math.max(RETRY_BASE_MS, jitterMs));
    }
  }

  private startTicks(): void {
    clearInterval(this.timer);
    this.quietFromMs = Infinity;
    if (this.ended) return;
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  private tick(): void {
    const {clock, servers} = this.parts;
    const now = clock.now();
    const wasSettled = this.isSettled;
    const known = servers(this.rollout);
    if (known) this.apply({kind: 'servers', ...known});
    this.apply({kind: 'tick'});
    if (this.hasEnded) this.end();
    if (!wasSettled) return;
    if (this.quietFromMs === Infinity) {
      this.quietFromMs = now + SETTLED_REPEAT_MS;
      if (this.state) this.parts.publish(this.state);
    }
    if (now >= this.quietFromMs) clearInterval(this.timer);
  }

  private apply(input: RolloutInput): void {
    if (!this.course || this.hasEnded) return;
    const now = this.parts.clock.now();
    const {course, effects} = reduceRollout(this.course, input, now);
    this.course = course;
    for (const effect of effects) this.perform(effect);
  }

  private perform(effect: RolloutEffect): void {
    const {logger, publish} = this.parts;
    switch (effect.kind) {
      case 'publish':
        if (this.state) publish({...this.state, ...effect.state});
        break;
      case 'write':
        this.write(effect.record).catch((err: unknown) => {
          logger.error({err}, 'roll-out: record not written');
          this.apply({kind: 'stored', outcome: 'unknown'});
        });
        break;
      case 'log': {
        const {message, judgement} = effect;
        const {term, phase, share} = this.course?.state ?? {};
        const totals = this.course?.ledger.totals();
        logger.info({term, phase, share, totals, judgement}, message);
        break;
      }
    }
  }

  private async write(record: RolloutRecord): Promise<void> {
    const outcome =
      record.topic === 'phase'
        ? await this.phaseLog.writePhase(record.phase)
        : await this.phaseLog.writeStatus(record.status);
    this.parts.logger.info(
      {service: this.rollout.service, term: this.term, ...record, outcome},
      'roll-out: write',
    );
    this.apply({kind: 'stored', outcome});
  }
}
