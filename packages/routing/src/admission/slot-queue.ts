/**
 * The queue in front of one backend server. Load pattern: bursts above the
 * capacity of the slots, with deadlines of a few service times. A call waits
 * only while it can still be answered by its target; what cannot is refused at
 * once, so that its caller may go elsewhere or come back.
 */

import {ServiceTimes} from './service-times.js';

/** Part of a class's mean time that a running call is expected to take yet. */
const LEAST_REMAINING_SHARE = 0.2;
/** Time in ms that an answer needs on its way back to the caller. */
const RETURN_MS = 10;
/** Part of the time left by which a late call has to be expected back. */
const LATE_SHARE = 0.7;

/** A call that asks for a slot. */
export interface QueuedCall {
  id: number;
  /** Class of calls that take about as long. */
  class: string;
  /** 0 is the most urgent. */
  rank: number;
  /** Time in ms by which an answer is worth most. */
  targetMs: number;
  /** Time in ms after which no answer is of use. */
  deadlineMs: number;
  /** True if an answer after the target is wanted rather than a refusal. */
  acceptsLate: boolean;
  /** Runs only while no other call like it runs, as it may crash the server. */
  suspect: boolean;
}

export type SlotRefusal =
  'overload' | 'deadline' | 'draining' | 'server-failed';

/** Every call offered ends in exactly one of these. */
export type SlotEffect =
  {type: 'run'; id: number} | {type: 'refuse'; id: number; reason: SlotRefusal};

interface RunningCall {
  call: QueuedCall;
  startedMs: number;
}

/** Slots and waiting calls of one start of a server. */
export class SlotQueue {
  readonly times = new ServiceTimes();
  private readonly running = new Map<number, RunningCall>();
  private waiting: QueuedCall[] = [];
  private closedBy: SlotRefusal | undefined;

  constructor(private slots: number) {}

  /** Takes over a new number of slots. */
  resize(slots: number, nowMs: number): SlotEffect[] {
    this.slots = Math.max(1, slots);
    return this.dispatch(nowMs);
  }

  offer(call: QueuedCall, nowMs: number): SlotEffect[] {
    if (this.closedBy) return [refuse(call, this.closedBy)];
    const meanMs = this.times.meanMs(call.class);
    if (this.isExpired(call, nowMs)) return [refuse(call, 'deadline')];
    if (this.hasSlot(call) && this.waiting.length === 0) {
      return [this.start(call, nowMs)];
    }
    const finishMs = nowMs + this.waitMs(call.rank, nowMs) + meanMs;
    if (finishMs > this.latestFinishMs(call, nowMs)) {
      return [refuse(call, 'overload')];
    }
    this.waiting.push(call);
    return this.dispatch(nowMs);
  }

  /** A call that ran has ended; `answered` if its time is worth learning. */
  finished(id: number, answered: boolean, nowMs: number): SlotEffect[] {
    const ended = this.running.get(id);
    if (!ended) return [];
    this.running.delete(id);
    if (answered) this.times.record(ended.call.class, nowMs - ended.startedMs);
    return this.dispatch(nowMs);
  }

  /** The caller of a waiting call has left; false if it does not wait. */
  withdraw(id: number): boolean {
    const left = this.waiting.filter(call => call.id !== id);
    const found = left.length < this.waiting.length;
    this.waiting = left;
    return found;
  }

  /** Refuses all that wait and all that follow; running calls go on. */
  close(reason: SlotRefusal): SlotEffect[] {
    this.closedBy = reason;
    const effects = this.waiting.map(call => refuse(call, reason));
    this.waiting = [];
    return effects;
  }

  /** Takes calls again. */
  reopen(): void {
    this.closedBy = undefined;
  }

  /** Refuses waiting calls that can no longer be answered in time. */
  expire(nowMs: number): SlotEffect[] {
    const late = this.waiting.filter(call => this.isHopeless(call, nowMs));
    if (late.length === 0) return [];
    this.waiting = this.waiting.filter(call => !late.includes(call));
    return late.map(call =>
      refuse(call, call.acceptsLate ? 'deadline' : 'overload'),
    );
  }

  get inFlight(): number {
    return this.running.size;
  }

  get queued(): number {
    return this.waiting.length;
  }

  /** Slots in use by now; 0 while no call is taken. */
  get limit(): number {
    return this.closedBy ? 0 : this.slots;
  }

  /** Time in ms that a new call of the rank would wait for its slot. */
  waitMs(rank: number, nowMs: number): number {
    const ahead = this.waiting.filter(call => call.rank <= rank);
    if (ahead.length === 0 && this.running.size < this.slots) return 0;
    const free = this.freeTimes(nowMs);
    for (const call of ahead) {
      const at = free.shift() ?? nowMs;
      insertSorted(free, at + this.times.meanMs(call.class));
    }
    return Math.max(0, (free[0] ?? nowMs) - nowMs);
  }

  /** When each slot is expected to be free, in order. */
  private freeTimes(nowMs: number): number[] {
    const times = [...this.running.values()].map(({call, startedMs}) => {
      const meanMs = this.times.meanMs(call.class);
      const leftMs = startedMs + meanMs - nowMs;
      return nowMs + Math.max(leftMs, meanMs * LEAST_REMAINING_SHARE);
    });
    while (times.length < this.slots) times.push(nowMs);
    return times.sort((a, b) => a - b);
  }

  private latestFinishMs(call: QueuedCall, nowMs: number): number {
    if (!call.acceptsLate) return call.targetMs - RETURN_MS;
    return nowMs + (call.deadlineMs - nowMs) * LATE_SHARE;
  }

  private isExpired(call: QueuedCall, nowMs: number): boolean {
    const leastMs = this.times.meanMs(call.class) / 2;
    return nowMs + Math.max(RETURN_MS, leastMs) >= call.deadlineMs;
  }

  private isHopeless(call: QueuedCall, nowMs: number): boolean {
    if (this.isExpired(call, nowMs)) return true;
    return !call.acceptsLate && !this.isOnTime(call, nowMs);
  }

  private isOnTime(call: QueuedCall, nowMs: number): boolean {
    const finishMs = nowMs + this.times.meanMs(call.class);
    return finishMs <= call.targetMs - RETURN_MS;
  }

  private hasSlot({suspect}: QueuedCall): boolean {
    if (this.running.size >= this.slots) return false;
    if (!suspect) return true;
    return ![...this.running.values()].some(({call}) => call.suspect);
  }

  private dispatch(nowMs: number): SlotEffect[] {
    const effects = this.expire(nowMs);
    for (;;) {
      const call = this.takeNext(nowMs);
      if (!call) return effects;
      effects.push(this.start(call, nowMs));
    }
  }

  /** The most urgent first, then those that can be on time, then the oldest. */
  private takeNext(nowMs: number): QueuedCall | undefined {
    let best: QueuedCall | undefined;
    for (const call of this.waiting) {
      if (!this.hasSlot(call)) continue;
      if (!best || this.goesBefore(call, best, nowMs)) best = call;
    }
    if (best) this.waiting.splice(this.waiting.indexOf(best), 1);
    return best;
  }

  private goesBefore(a: QueuedCall, b: QueuedCall, nowMs: number): boolean {
    if (a.rank !== b.rank) return a.rank < b.rank;
    return this.isOnTime(a, nowMs) && !this.isOnTime(b, nowMs);
  }

  private start(call: QueuedCall, nowMs: number): SlotEffect {
    this.running.set(call.id, {call, startedMs: nowMs});
    return {type: 'run', id: call.id};
  }
}

function refuse({id}: QueuedCall, reason: SlotRefusal): SlotEffect {
  return {type: 'refuse', id, reason};
}

function insertSorted(times: number[], time: number): void {
  let index = times.length;
  while (index > 0 && (times[index - 1] ?? 0) > time) index--;
  times.splice(index, 0, time);
}
