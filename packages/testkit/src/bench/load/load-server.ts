/** A modelled backend server with the call queue of its node. */

import {
  SlotQueue,
  type Candidate,
  type QueuedCall,
  type SlotEffect,
  type SlotRefusal,
} from '@turmericmill/routing';
import type {RandomSource} from '@turmericmill/utils';
import type {ServerLoad} from '@turmericmill/wire';

import type {EventQueue} from '../policy/event-queue.js';
import type {LoadServer} from './load-pattern.js';

/** Interval in ms between deadline checks of waiting calls; as in the node. */
const SWEEP_INTERVAL_MS = 20;

/** How an offer to a server ended. `failed`: a call that it made has failed. */
export type OfferEnd = 'answered' | 'shed' | 'failed' | SlotRefusal;

/** A call as the server sees it. */
export interface OfferedCall {
  workMs: number;
  /** Makes the call that the run needs, if any, and reports its success. */
  callInner: (onEnd: (succeeded: boolean) => void) => void;
  onEnd: (end: OfferEnd) => void;
}

export class ModelledServer {
  readonly candidate: Candidate;
  runs = 0;
  private readonly queue: SlotQueue;
  private readonly offered = new Map<number, OfferedCall>();

  constructor(
    index: number,
    private readonly spec: LoadServer,
    slots: number,
    private readonly events: EventQueue,
    private readonly random: RandomSource,
    /** Returns the current factor on run times and the share of shed calls. */
    private readonly currentFault: () => {slowdown: number; shedShare: number},
  ) {
    this.queue = new SlotQueue(slots);
    this.candidate = {
      nodeId: `n-${index}`,
      serverId: `s-${index}`,
      incarnation: 1,
      group: spec.service,
      dataCentre: spec.dataCentre,
      state: 'ready',
      slots,
      readySinceMs: -60_000,
    };
    this.sweep();
  }

  offer(call: QueuedCall, offered: OfferedCall): void {
    this.offered.set(call.id, offered);
    this.apply(this.queue.offer(call, this.events.nowMs));
  }

  load(rank: number, cls: string): ServerLoad {
    const {queue} = this;
    const load: ServerLoad = {
      inFlight: queue.inFlight,
      queued: queue.queued,
      limit: queue.limit,
      waitMs: queue.waitMs(rank, this.events.nowMs),
    };
    const serviceMs = queue.serviceTimes.measuredMs(cls);
    return serviceMs === undefined ? load : {...load, serviceMs};
  }

  private apply(effects: readonly SlotEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'run') this.start(effect.id);
      else this.end(effect.id, effect.reason);
    }
  }

  private start(id: number): void {
    const {workMs, callInner} = this.offered.get(id) as OfferedCall;
    this.runs += 1;
    const {slowdown, shedShare} = this.currentFault();
    const isShed = this.random.next() < shedShare;
    const runMs = isShed ? 1 : (workMs / this.spec.speed) * slowdown;
    this.events.after(runMs, () => {
      if (isShed) this.finish(id, 'shed');
      else {
        callInner(succeeded => {
          this.finish(id, succeeded ? 'answered' : 'failed');
        });
      }
    });
  }

  private finish(id: number, end: OfferEnd): void {
    const isAnswered = end !== 'shed';
    this.apply(this.queue.finished(id, isAnswered, this.events.nowMs));
    this.end(id, end);
  }

  private end(id: number, result: OfferEnd): void {
    const offered = this.offered.get(id);
    this.offered.delete(id);
    offered?.onEnd(result);
  }

  private sweep(): void {
    this.events.after(SWEEP_INTERVAL_MS, () => {
      this.apply(this.queue.expire(this.events.nowMs));
      this.sweep();
    });
  }
}
