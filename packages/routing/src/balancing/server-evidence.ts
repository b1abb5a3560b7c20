/** An entry node's evidence on one server, from the node's own calls. */

import type {ClassPriority} from '@turmericmill/config';
import type {ServerLoad} from '@turmericmill/wire';

import type {CallResult, CallTraits, Candidate} from './balancer.js';
import {Ejection} from './ejection.js';
import {DecayingRate} from './decaying-rate.js';

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Time in ms after which a reported load has lost two thirds of its weight. */
const LOAD_DECAY_MS = 1_000;
/** As `LOAD_DECAY_MS`, for the service time. */
const SERVICE_DECAY_MS = 20_000;

/** Service time of a server for the calls of one class. */
interface ServiceTime {
  ms: number;
  updatedAtMs: number;
}

/** Evidence that differs between interactive and bulk calls. */
interface PriorityEvidence {
  /** This node's own calls of the priority that have not ended. */
  inFlight: number;
  refusals: DecayingRate;
  /**
   * Other nodes' calls that run or are queued ahead of a new one, as last
   * reported. For interactive calls, includes this node's running bulk calls.
   */
  otherNodesCalls: number;
  reportedAtMs: number;
}

function newEvidence(): PriorityEvidence {
  const refusals = new DecayingRate();
  return {inFlight: 0, refusals, otherNodesCalls: 0, reportedAtMs: 0};
}

/** Evidence on one incarnation of a server. */
export class ServerEvidence {
  readonly ejection = new Ejection();
  private readonly byPriority: Record<ClassPriority, PriorityEvidence> = {
    interactive: newEvidence(),
    bulk: newEvidence(),
  };
  private readonly serviceTimes = new Map<string, ServiceTime>();
  private limit = Infinity;

  constructor(readonly incarnation: number) {}

  /** This node's own calls that have not ended. */
  get inFlight(): number {
    const {interactive, bulk} = this.byPriority;
    return interactive.inFlight + bulk.inFlight;
  }

  /** Records that a call was sent. */
  start(call: CallTraits): void {
    this.byPriority[call.priority].inFlight++;
  }

  /** Records the end of a call. */
  finish(call: CallTraits, result: CallResult, nowMs: number): void {
    const evidence = this.byPriority[call.priority];
    evidence.inFlight = Math.max(0, evidence.inFlight - 1);
    if (result.load) this.recordLoad(call, result.load, nowMs);
    switch (result.outcome) {
      case 'answered':
        this.ejection.succeeded(nowMs);
        evidence.refusals.add(0, nowMs);
        this.recordLatency(call, result, nowMs);
        break;
      case 'refused':
        evidence.refusals.add(1, nowMs);
        break;
      case 'server-error':
      case 'failed':
      case 'timed-out':
        this.ejection.failed(nowMs);
        break;
      case 'cancelled':
        break;
    }
  }

  /** Share of calls of the priority that were refused without being run. */
  refusalRate(priority: ClassPriority, nowMs: number): number {
    return this.byPriority[priority].refusals.valueAt(nowMs);
  }

  /**
   * Calls that run or are queued ahead of a new one: own ones, and others as
   * last reported.
   */
  callsAhead(priority: ClassPriority, nowMs: number): number {
    const {otherNodesCalls, reportedAtMs} = this.byPriority[priority];
    const decay = Math.exp((reportedAtMs - nowMs) / LOAD_DECAY_MS);
    return this.ownCallsAhead(priority) + otherNodesCalls * decay;
  }

  /** Calls that the server runs at once; at least 1. */
  slots(candidate: Candidate): number {
    return Math.max(1, Math.min(this.limit, candidate.slots));
  }

  /** Service time in ms; tends to `typicalMs` as the last sample ages. */
  serviceMs(cls: string, typicalMs: number, nowMs: number): number {
    const last = this.serviceTimes.get(cls);
    if (!last) return typicalMs;
    const decay = Math.exp((last.updatedAtMs - nowMs) / SERVICE_DECAY_MS);
    return typicalMs + (last.ms - typicalMs) * decay;
  }

  /** The last known service time in ms for the class. */
  lastServiceMs(cls: string): number | undefined {
    return this.serviceTimes.get(cls)?.ms;
  }

  private ownCallsAhead(priority: ClassPriority): number {
    return priority === 'bulk'
      ? this.inFlight
      : this.byPriority.interactive.inFlight;
  }

  private recordLoad(call: CallTraits, load: ServerLoad, nowMs: number): void {
    this.limit = load.limit;
    const evidence = this.byPriority[call.priority];
    const ahead = load.inFlight + load.queued;
    evidence.otherNodesCalls = Math.max(
      0,
      ahead - this.ownCallsAhead(call.priority),
    );
    evidence.reportedAtMs = nowMs;
    if (load.serviceMs === undefined) return;
    this.serviceTimes.set(call.class, {ms: load.serviceMs, updatedAtMs: nowMs});
  }

  /** Uses the observed latency if the server's node reports no service time. */
  private recordLatency(
    call: CallTraits,
    result: CallResult,
    nowMs: number,
  ): void {
    if (result.load?.serviceMs !== undefined) return;
    const {latencyMs} = result;
    const previousMs = this.serviceTimes.get(call.class)?.ms ?? latencyMs;
    const ms = previousMs + SAMPLE_WEIGHT * (latencyMs - previousMs);
    this.serviceTimes.set(call.class, {ms, updatedAtMs: nowMs});
  }
}
