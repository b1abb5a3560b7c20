/** Admission control for one backend server, run by its node. */

import type {ClassPriority} from '@turmericmill/config';
import type {FailureReason, ServerLoad} from '@turmericmill/wire';

import {AdaptiveLimit} from './adaptive-limit.js';
import type {ServerOutcome} from './adaptive-limit.js';
import {CallLane} from './call-lane.js';
import type {AdmissionCall} from './call-lane.js';
import {LaneScheduler} from './lane-scheduler.js';

/** Maximum number of waiting calls per slot and priority. */
const QUEUE_PER_SLOT = 4;

/** Bounds of a server: the lesser of those announced and its group's. */
export interface AdmissionBounds {
  slots: number;
  connections: number;
}

/** The attributes of a call that select the load reported with its answer. */
export type LoadTraits = Pick<AdmissionCall, 'class' | 'priority'>;

/**
 * What the node has to do. `run`: send the call to the server. `refuse`: answer
 * `not-run` with the reason; no byte has reached the server. `abort`: cancel
 * the call at the server; its slot stays occupied until `finished`.
 */
export type AdmissionEffect =
  | {type: 'run'; id: number}
  | {type: 'refuse'; id: number; reason: FailureReason}
  | {type: 'abort'; id: number};

interface RunningCall {
  call: AdmissionCall;
  lane: CallLane;
  startedAtMs: number;
}

/**
 * Slots, queue and limit of one incarnation of a server. Every call offered
 * ends in exactly one `run` or `refuse`; every `run` has to be followed by one
 * `finished` or by `crashed`.
 */
export class Admission {
  private readonly lanes = new Map<string, CallLane>();
  private readonly running = new Map<number, RunningCall>();
  private readonly scheduler = new LaneScheduler();
  private readonly limit: AdaptiveLimit;
  private draining = false;

  constructor(bounds: AdmissionBounds) {
    this.limit = new AdaptiveLimit(Math.min(bounds.slots, bounds.connections));
  }

  /** Applies the bounds of a new configuration or announcement. */
  resize(bounds: AdmissionBounds, nowMs: number): AdmissionEffect[] {
    this.limit.resize(Math.min(bounds.slots, bounds.connections));
    return this.dispatch(nowMs);
  }

  /** Runs, queues or refuses a new call. */
  offer(call: AdmissionCall, nowMs: number): AdmissionEffect[] {
    if (call.priority === 'interactive') this.scheduler.noteInteractive(nowMs);
    const reason = this.reasonToRefuse(call, nowMs);
    if (reason) return [{type: 'refuse', id: call.id, reason}];
    this.laneOf(call).push(call);
    return this.dispatch(nowMs);
  }

  /** Releases the slot of a call that ended, with or without an answer. */
  finished(
    id: number,
    outcome: ServerOutcome,
    nowMs: number,
  ): AdmissionEffect[] {
    const ended = this.running.get(id);
    if (!ended) return [];
    const sample = {
      class: ended.call.class,
      outcome,
      startedAtMs: ended.startedAtMs,
      running: this.running.size,
    };
    this.limit.record(sample, nowMs);
    this.running.delete(id);
    ended.lane.running--;
    return this.dispatch(nowMs);
  }

  /** Removes or aborts a call whose caller has left. */
  cancel(id: number): AdmissionEffect[] {
    if (this.running.has(id)) return [{type: 'abort', id}];
    for (const lane of this.lanes.values()) {
      if (lane.withdraw(id)) return [{type: 'refuse', id, reason: 'cancelled'}];
    }
    return [];
  }

  /** Refuses all waiting and all new calls; running ones continue. */
  drain(): AdmissionEffect[] {
    this.draining = true;
    return this.refuseWaiting('draining');
  }

  /** Accepts calls again after `drain`. */
  undrain(): void {
    this.draining = false;
  }

  /**
   * Ends all calls after a crash of the server. Waiting calls are refused; the
   * node has to answer the returned running ones as unknown.
   */
  crashed(): {effects: AdmissionEffect[]; running: AdmissionCall[]} {
    const running = [...this.running.values()].map(({call}) => call);
    this.running.clear();
    for (const lane of this.lanes.values()) lane.running = 0;
    return {effects: this.refuseWaiting('server-failed'), running};
  }

  /** Refuses waiting calls that can no longer be answered in time. */
  expire(nowMs: number): AdmissionEffect[] {
    const effects: AdmissionEffect[] = [];
    for (const lane of this.lanes.values()) {
      let call = lane.peek();
      while (call && this.isTooLate(call, nowMs)) {
        lane.shift();
        effects.push({type: 'refuse', id: call.id, reason: 'deadline'});
        call = lane.peek();
      }
    }
    return effects;
  }

  /** Time in ms at which to call `expire`; undefined while nothing waits. */
  nextExpiryMs(): number | undefined {
    let next: number | undefined;
    for (const lane of this.lanes.values()) {
      const call = lane.peek();
      if (!call) continue;
      const atMs = call.deadlineMs - this.expectedMs(call);
      if (next === undefined || atMs < next) next = atMs;
    }
    return next;
  }

  /** The load to report with the answer to a call with these attributes. */
  load(call: LoadTraits): ServerLoad {
    const {priority} = call;
    const load: ServerLoad = {
      inFlight: this.running.size,
      queued: this.waiting(priority === 'bulk' ? undefined : priority),
      limit: this.draining ? 0 : this.limit.value,
    };
    const serviceMs = this.limit.serviceMs(call.class);
    return serviceMs === undefined ? load : {...load, serviceMs};
  }

  /** Calls that occupy a slot. */
  get inFlight(): number {
    return this.running.size;
  }

  private expectedMs(call: AdmissionCall): number {
    return this.limit.serviceMs(call.class) ?? 0;
  }

  private waiting(priority?: ClassPriority): number {
    let count = 0;
    for (const lane of this.lanes.values()) {
      if (!priority || lane.priority === priority) count += lane.length;
    }
    return count;
  }

  private reasonToRefuse(
    call: AdmissionCall,
    nowMs: number,
  ): FailureReason | undefined {
    if (this.draining) return 'draining';
    if (this.isTooLate(call, nowMs)) return 'deadline';
    const queued = this.waiting(call.priority);
    if (queued >= this.limit.value * QUEUE_PER_SLOT) return 'overload';
    const serviceMs = this.expectedMs(call);
    const waitMs = (queued * serviceMs) / this.limit.value;
    const full = this.running.size >= this.limit.value;
    const late = full && this.isTooLate(call, nowMs + waitMs);
    return late ? 'overload' : undefined;
  }

  private isTooLate(call: AdmissionCall, nowMs: number): boolean {
    const serviceMs = this.expectedMs(call);
    return nowMs >= call.deadlineMs - serviceMs;
  }

  private laneOf(call: AdmissionCall): CallLane {
    const kind = call.suspect ? 'suspects' : 'class';
    const key = `${kind}/${call.priority}/${call.class}/${call.weight}`;
    let lane = this.lanes.get(key);
    if (!lane) {
      lane = new CallLane(call.priority, call.weight, call.suspect);
      this.lanes.set(key, lane);
    }
    return lane;
  }

  private dispatch(nowMs: number): AdmissionEffect[] {
    const effects = this.expire(nowMs);
    const lanes = [...this.lanes.values()];
    while (this.running.size < this.limit.value) {
      const lane = this.scheduler.choose(lanes, this.limit.value, nowMs);
      const call = lane?.shift();
      if (!lane || !call) break;
      this.start(call, lane, nowMs);
      effects.push({type: 'run', id: call.id});
    }
    return effects;
  }

  private start(call: AdmissionCall, lane: CallLane, nowMs: number): void {
    lane.running++;
    this.running.set(call.id, {call, lane, startedAtMs: nowMs});
    this.scheduler.noteStart(call.priority);
  }

  private refuseWaiting(reason: FailureReason): AdmissionEffect[] {
    return [...this.lanes.values()]
      .flatMap(lane => lane.clear())
      .map(({id}) => ({type: 'refuse', id, reason}));
  }
}
