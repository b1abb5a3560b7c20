/** A simulated backend server with the admission of the node beside it. */

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

const SLOW_FACTOR = 5;
const SHEDDING_SHARE = 1 / 3;
const FLAKY_SHARE = 0.5;
/** Time in ms of an answer that took no work. */
const INSTANT_MS = 1;
const MEAN_UPTIME_MS = 2_000;
const DOWN_MS = 1_000;
const COLD_MS = 500;
const COLD_FACTOR = 3;
/** Time in ms until other nodes know of a change of state. */
const NEWS_MS = 200;
/** Time in ms over which a started server is brought to its full share. */
export const SLOW_START_MS = 1_000;

/** An attempt that brought no answer. */
export interface FailedEnd {
  kind: 'not-run' | 'unknown';
  reason: FailureReason;
  load: ServerLoad;
}

/** How an attempt ended, as its entry node hears it. */
export type AttemptEnd =
  {kind: 'answered' | 'server-error'; load: ServerLoad} | FailedEnd;

/** An attempt at a server. `end` is called once. */
export interface Attempt {
  call: AdmissionCall;
  /** Time in ms that a healthy server takes. */
  workMs: number;
  end(result: AttemptEnd): void;
}

const NO_LOAD: ServerLoad = {inFlight: 0, queued: 0, limit: 1};

/** One server, from the offer of a call to its end. */
export class SimServer {
  /** What the other nodes believe; replaced when news arrives. */
  candidate: Candidate;
  /** Calls that the server has begun. */
  runs = 0;
  private admission: Admission;
  private readonly attempts = new Map<number, Attempt>();
  private readonly running = new Map<number, number>();
  private down = false;
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
    if (this.down) {
      const reason = 'server-unreachable';
      attempt.end({kind: 'not-run', reason, load: NO_LOAD});
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
    attempt.end({kind: 'not-run', reason, load});
  }

  private run(id: number): void {
    const attempt = this.attempts.get(id);
    if (!attempt) return;
    this.runs++;
    const run = this.runs;
    this.running.set(id, run);
    const outcome = this.outcome();
    const shed = outcome !== 'answered';
    const timeMs = shed ? INSTANT_MS : attempt.workMs * this.slowness();
    this.events.after(timeMs, () => {
      if (this.running.get(id) !== run) return;
      this.finish(id, outcome);
    });
  }

  private outcome(): ServerOutcome | 'error' {
    const slots = this.deployment.slots * SHEDDING_SHARE;
    if (this.fault === 'shedding' && this.running.size > slots) {
      return 'overloaded';
    }
    if (this.fault === 'misreporting') return 'error';
    const fails = this.fault === 'flaky' && this.random.next() < FLAKY_SHARE;
    return fails ? 'error' : 'answered';
  }

  private slowness(): number {
    if (this.fault === 'slow') return SLOW_FACTOR;
    return this.events.nowMs < this.coldUntilMs ? COLD_FACTOR : 1;
  }

  private finish(id: number, outcome: ServerOutcome | 'error'): void {
    const attempt = this.attempts.get(id);
    this.attempts.delete(id);
    this.running.delete(id);
    const seen = outcome === 'error' ? 'answered' : outcome;
    const effects = this.admission.finished(id, seen, this.events.nowMs);
    if (attempt && outcome !== 'cancelled') {
      const load = this.admission.load(attempt.call);
      const kind = outcome === 'answered' ? 'answered' : 'server-error';
      attempt.end({kind, load});
    }
    this.apply(effects);
  }

  private scheduleCrash(): void {
    const uptimeMs = exponentialMs(MEAN_UPTIME_MS, this.random);
    this.events.after(uptimeMs, () => this.crash());
  }

  private crash(): void {
    this.down = true;
    const {effects, running} = this.admission.crashed();
    this.running.clear();
    for (const {id} of running) {
      const attempt = this.attempts.get(id);
      this.attempts.delete(id);
      const reason = 'server-failed';
      attempt?.end({kind: 'unknown', reason, load: NO_LOAD});
    }
    this.apply(effects);
    this.tell('starting');
    this.events.after(DOWN_MS, () => this.restart());
  }

  private restart(): void {
    this.down = false;
    this.coldUntilMs = this.events.nowMs + COLD_MS;
    this.admission = new Admission(this.deployment);
    this.tell('ready');
    this.scheduleCrash();
  }

  private tell(state: Candidate['state']): void {
    const {incarnation} = this.candidate;
    const readySinceMs = this.events.nowMs;
    const news: Candidate = {
      ...this.candidate,
      incarnation: state === 'ready' ? incarnation + 1 : incarnation,
      state,
      readySinceMs,
    };
    this.events.after(NEWS_MS, () => {
      this.candidate = news;
    });
  }
}
