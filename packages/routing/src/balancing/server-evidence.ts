/** What an entry node has learned about one server from its own calls. */

import type {ClassPriority} from '@turmericmill/config';
import type {ServerLoad} from '@turmericmill/wire';

import type {CallResult, CallTraits, Candidate} from './balancer.js';
import {Ejection} from './ejection.js';
import {DecayingRate} from './decaying-rate.js';

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Time in ms after which a reported load has lost two thirds. */
const LOAD_DECAY_MS = 1_000;
/** As `LOAD_DECAY_MS`, for the time that a server takes. */
const SERVICE_DECAY_MS = 20_000;

/** Time that a server takes for the calls of one class. */
interface ServiceTime {
  ms: number;
  atMs: number;
}

/** Evidence that differs between interactive and bulk calls. */
interface PriorityEvidence {
  /** This node's own calls of the priority that have not ended. */
  inFlight: number;
  refusals: DecayingRate;
  /** Other nodes' calls that go before a new one, when last known. */
  others: number;
  othersAtMs: number;
}

function noEvidence(): PriorityEvidence {
  const refusals = new DecayingRate();
  return {inFlight: 0, refusals, others: 0, othersAtMs: 0};
}

/** Evidence on one incarnation of a server. */
export class ServerEvidence {
  readonly ejection = new Ejection();
  private readonly byPriority: Record<ClassPriority, PriorityEvidence> = {
    interactive: noEvidence(),
    bulk: noEvidence(),
  };
  private readonly serviceTimes = new Map<string, ServiceTime>();
  private limit = Infinity;

  constructor(readonly incarnation: number) {}

  /** This node's own calls that have not ended. */
  get inFlight(): number {
    const {interactive, bulk} = this.byPriority;
    return interactive.inFlight + bulk.inFlight;
  }

  /** A call was sent. */
  start(call: CallTraits): void {
    this.byPriority[call.priority].inFlight++;
  }

  /** A call has ended. */
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

  /** Share of calls of the priority that were refused unrun. */
  refusalRate(priority: ClassPriority, nowMs: number): number {
    return this.byPriority[priority].refusals.at(nowMs);
  }

  /** Calls that go before a new one: own ones, and others as far as known. */
  occupied(priority: ClassPriority, nowMs: number): number {
    const {others, othersAtMs} = this.byPriority[priority];
    const fading = Math.exp((othersAtMs - nowMs) / LOAD_DECAY_MS);
    return this.ownAhead(priority) + others * fading;
  }

  /** Calls that the server runs at once; at least 1. */
  slots(candidate: Candidate): number {
    return Math.max(1, Math.min(this.limit, candidate.slots));
  }

  /** Time in ms that the server takes, nearing `typicalMs` as it ages. */
  serviceMs(cls: string, typicalMs: number, nowMs: number): number {
    const known = this.serviceTimes.get(cls);
    if (!known) return typicalMs;
    const fading = Math.exp((known.atMs - nowMs) / SERVICE_DECAY_MS);
    return typicalMs + (known.ms - typicalMs) * fading;
  }

  /** The last known time in ms that the server took for the class. */
  lastServiceMs(cls: string): number | undefined {
    return this.serviceTimes.get(cls)?.ms;
  }

  private ownAhead(priority: ClassPriority): number {
    return priority === 'bulk'
      ? this.inFlight
      : this.byPriority.interactive.inFlight;
  }

  private recordLoad(call: CallTraits, load: ServerLoad, nowMs: number): void {
    this.limit = load.limit;
    const evidence = this.byPriority[call.priority];
    const ahead = load.inFlight + load.queued;
    evidence.others = Math.max(0, ahead - this.ownAhead(call.priority));
    evidence.othersAtMs = nowMs;
    if (load.serviceMs === undefined) return;
    this.serviceTimes.set(call.class, {ms: load.serviceMs, atMs: nowMs});
  }

  /** Measures the server from here where its node does not tell. */
  private recordLatency(
    call: CallTraits,
    result: CallResult,
    nowMs: number,
  ): void {
    if (result.load?.serviceMs !== undefined) return;
    const {latencyMs} = result;
    const known = this.serviceTimes.get(call.class)?.ms ?? latencyMs;
    const ms = known + SAMPLE_WEIGHT * (latencyMs - known);
    this.serviceTimes.set(call.class, {ms, atMs: nowMs});
  }
}
