/** A modelled backend server behind the queue of its node. */

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

/** Time in ms between looks at waiting calls, as in the node. */
const SWEEP_MS = 20;

/** How an offer to a server ended. */
export type OfferEnd = 'answered' | 'shed' | SlotRefusal;

interface Offered {
  workMs: number;
  end: (end: OfferEnd) => void;
}

export class ModelledServer {
  readonly candidate: Candidate;
  runs = 0;
  private readonly queue: SlotQueue;
  private readonly offered = new Map<number, Offered>();

  constructor(
    index: number,
    private readonly plan: LoadServer,
    slots: number,
    private readonly events: EventQueue,
    private readonly random: RandomSource,
    /** Factor on the time of a run, and the share that is shed, by now. */
    private readonly fault: () => {slowness: number; shedShare: number},
  ) {
    this.queue = new SlotQueue(slots);
    this.candidate = {
      nodeId: `n-${index}`,
      serverId: `s-${index}`,
      incarnation: 1,
      group: 'service',
      dataCentre: plan.dataCentre,
      state: 'ready',
      slots,
      readySinceMs: -60_000,
    };
    this.sweep();
  }

  offer(call: QueuedCall, workMs: number, end: (end: OfferEnd) => void): void {
    this.offered.set(call.id, {workMs, end});
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
      if (effect.type === 'run') this.begin(effect.id);
      else this.end(effect.id, effect.reason);
    }
  }

  private begin(id: number): void {
    const {workMs} = this.offered.get(id) as Offered;
    this.runs += 1;
    const {slowness, shedShare} = this.fault();
    const isShed = this.random.next() < shedShare;
    const runMs = isShed ? 1 : (workMs / this.plan.speed) * slowness;
    this.events.after(runMs, () => {
      this.apply(this.queue.finished(id, !isShed, this.events.nowMs));
      this.end(id, isShed ? 'shed' : 'answered');
    });
  }

  private end(id: number, how: OfferEnd): void {
    const offered = this.offered.get(id);
    this.offered.delete(id);
    offered?.end(how);
  }

  private sweep(): void {
    this.events.after(SWEEP_MS, () => {
      this.apply(this.queue.expire(this.events.nowMs));
      this.sweep();
    });
  }
}
