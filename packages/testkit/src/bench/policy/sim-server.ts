/** A simulated backend server with the admission control of its node. */

import {
  Admission,
  type AdmissionCall,
  type AdmissionEffect,
  type Candidate,
  type ServerOutcome,
} from '@turmericmill/routing';
import type {RandomSource} from '@turmericmill/utils';
import type {FailureReason, ServerLoad} from '@turmericmill/wire';

import type {EventQueue} from './event-queue.js';
import {exponentialMs, type Deployment, type Fault} from './workload.js';

/** Factor on the time that a `slow` server takes. */
const SLOWDOWN = 5;
/** Share of its slots beyond which a `shedding` server sheds calls. */
const SHEDDING_SHARE = 1 / 3;
/** Share of calls that a `flaky` server fails. */
const FLAKY_SHARE = 0.5;
/** Time in ms until an error answer, which takes no work. */
const ERROR_ANSWER_MS = 1;
const MEAN_UPTIME_MS = 2_000;
const DOWNTIME_MS = 1_000;
/** Time in ms after a restart during which the server is slower. */
const COLD_START_MS = 500;
/** Factor on the time that a server takes after a restart. */
const COLD_START_SLOWDOWN = 3;
/** Time in ms until other nodes observe a change of state. */
const STATE_PROPAGATION_MS = 200;
/** Time in ms over which a started server reaches its full share of calls. */
export const SLOW_START_MS = 1_000;

/** The end of an attempt without an answer. */
export interface FailedEnd {
  kind: 'not-run' | 'unknown';
  reason: FailureReason;
  load: ServerLoad;
}

/** The end of an attempt, as reported to its entry node. */
export type AttemptEnd =
  {kind: 'answered' | 'server-error'; load: ServerLoad} | FailedEnd;

/** An attempt at a server; `onEnd` is called once, or never after an abort. */
export interface Attempt {
  call: AdmissionCall;
  /** Time in ms that a healthy server takes. */
  workMs: number;
  onEnd(result: AttemptEnd): void;
}

const NO_LOAD: ServerLoad = {inFlight: 0, queued: 0, limit: 1};

/** One server, which admits, runs and ends calls. */
export class SimServer {
  /** The state known to other nodes; it lags by the propagation time. */
  candidate: Candidate;
  /** Number of calls that the server has started. */
  runs = 0;
  private admission: Admission;
  private readonly attempts = new Map<number, Attempt>();
  /** Number of the current run of each running call, by call id. */
  private readonly running = new Map<number, number>();
  private isDown = false;
  private coldUntilMs = 0;

  constructor(
    index: number,
    dataCentre: string,
    private readonly deployment: Deployment,
    private readonly fault: Fault,
    private readonly events: EventQueue,
    private readonly random: RandomSource,
  ) {
    this.admission = new Admission(deployment);
    this.candidate = {
      nodeId: `node-${index}`,
      serverId: `server-${index}`,
      incarnation: 1,
      group: `bench/${deployment.name}`,
      dataCentre,
      state: 'ready',
      slots: deployment.slots,
      readySinceMs: -SLOW_START_MS,
    };
    if (fault === 'crashing') this.scheduleCrash();
  }

  offer(attempt: Attempt): void {
    if (this.isDown) {
      const reason = 'server-unreachable';
      attempt.onEnd({kind: 'not-run', reason, load: NO_LOAD});
      return;
    }
    this.attempts.set(attempt.call.id, attempt);
    this.apply(this.admission.offer(attempt.call, this.events.nowMs));
  }

  cancel(id: number): void {
    this.apply(this.admission.cancel(id));
  }

  private apply(effects: readonly AdmissionEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'run') this.run(effect.id);
      else if (effect.type === 'abort') this.finish(effect.id, 'cancelled');
      else this.refuse(effect.id, effect.reason);
    }
  }

  private refuse(id: number, reason: FailureReason): void {
    const attempt = this.attempts.get(id);
    this.attempts.delete(id);
    if (!attempt) return;
    const load = this.admission.load(attempt.call);
    attempt.onEnd({kind: 'not-run', reason, load});
  }

  private run(id: number): void {
    const attempt = this.attempts.get(id);
    if (!attempt) return;
    this.runs++;
    const runNumber = this.runs;
    this.running.set(id, runNumber);
    const outcome = this.drawOutcome();
    const isError = outcome !== 'answered';
    const timeMs = isError ? ERROR_ANSWER_MS : attempt.workMs * this.slowdown();
    this.events.after(timeMs, () => {
      if (this.running.get(id) !== runNumber) return;
      this.finish(id, outcome);
    });
  }

  private drawOutcome(): ServerOutcome | 'error' {
    const maxRunning = this.deployment.slots * SHEDDING_SHARE;
    if (this.fault === 'shedding' && this.running.size > maxRunning) {
      return 'overloaded';
    }
    if (this.fault === 'misreporting') return 'error';
    const fails = this.fault === 'flaky' && this.random.next() < FLAKY_SHARE;
    return fails ? 'error' : 'answered';
  }

  private slowdown(): number {
    if (this.fault === 'slow') return SLOWDOWN;
    return this.events.nowMs < this.coldUntilMs ? COLD_START_SLOWDOWN : 1;
  }

  private finish(id: number, outcome: ServerOutcome | 'error'): void {
    const attempt = this.attempts.get(id);
    this.attempts.delete(id);
    this.running.delete(id);
    const reported = outcome === 'error' ? 'answered' : outcome;
    const effects = this.admission.finished(id, reported, this.events.nowMs);
    if (attempt && outcome !== 'cancelled') {
      const load = this.admission.load(attempt.call);
      const kind = outcome === 'answered' ? 'answered' : 'server-error';
      attempt.onEnd({kind, load});
    }
    this.apply(effects);
  }

  private scheduleCrash(): void {
    const uptimeMs = exponentialMs(MEAN_UPTIME_MS, this.random);
    this.events.after(uptimeMs, () => this.crash());
  }

  private crash(): void {
    this.isDown = true;
    const {effects, running} = this.admission.crashed();
    this.running.clear();
    for (const {id} of running) {
      const attempt = this.attempts.get(id);
      this.attempts.delete(id);
      const reason = 'server-failed';
      attempt?.onEnd({kind: 'unknown', reason, load: NO_LOAD});
    }
    this.apply(effects);
    this.announceState('starting');
    this.events.after(DOWNTIME_MS, () => this.restart());
  }

  private restart(): void {
    this.isDown = false;
    this.coldUntilMs = this.events.nowMs + COLD_START_MS;
    this.admission = new Admission(this.deployment);
    this.announceState('ready');
    this.scheduleCrash();
  }

  private announceState(state: Candidate['state']): void {
    const {incarnation} = this.candidate;
    const readySinceMs = this.events.nowMs;
    const update: Candidate = {
      ...this.candidate,
      incarnation: state === 'ready' ? incarnation + 1 : incarnation,
      state,
      readySinceMs,
    };
    this.events.after(STATE_PROPAGATION_MS, () => {
      this.candidate = update;
    });
  }
}
