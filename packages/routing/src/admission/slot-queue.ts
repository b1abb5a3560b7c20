/**
 * The queue in front of one backend server. Load pattern: more calls than the
 * slots can carry, for seconds, with deadlines of a few service times. A call
 * waits only while the plan of the slots lets it end in time; what cannot is
 * refused at once, so that its caller may go elsewhere or come back. Calls that
 * are late already take slots that no other call could use.
 */

import {ServiceTimes} from './service-times.js';

/** Part of a class's mean time that a running call is expected to take yet. */
const LEAST_REMAINING_SHARE = 0.2;
/** Time in ms that an answer needs on its way back to the caller. */
const RETURN_MS = 10;
/**
 * Part of the time left in which a late call has to end: longer waits bring no
 * more answers in an overload, only later refusals.
 */
const LATE_SHARE = 0.4;
/** Time in ms for which a late call waits at least for a slot to be free. */
const LEAST_LATE_WAIT_MS = 100;
/**
 * Factor on the planned wait of a new call: more urgent ones arrive meanwhile
 * and go before it.
 */
const WAIT_ALLOWANCE = 2.5;

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

interface WaitingCall {
  call: QueuedCall;
  /** Time in ms by which the call has to end for its wait to be of use. */
  latestEndMs: number;
}

/** Slots and waiting calls of one start of a server. */
export class SlotQueue {
  readonly serviceTimes = new ServiceTimes();
  private readonly running = new Map<number, RunningCall>();
  /** In the order in which they get slots. */
  private waiting: WaitingCall[] = [];
  private closedBy: SlotRefusal | undefined;

  constructor(private slots: number) {}

  /** Takes over a new number of slots. */
  resize(slots: number, nowMs: number): SlotEffect[] {
    this.slots = Math.max(1, slots);
    return this.dispatch(nowMs);
  }

  offer(call: QueuedCall, nowMs: number): SlotEffect[] {
    if (this.closedBy) return [refuse(call, this.closedBy)];
    if (this.isExpired(call, nowMs)) return [refuse(call, 'deadline')];
    if (this.hasSlot(call) && this.waiting.length === 0) {
      return [this.start(call, nowMs)];
    }
    this.insert({call, latestEndMs: this.latestEndMs(call, nowMs)});
    return [...this.dispatch(nowMs), ...this.refuseBeyondPlan(call, nowMs)];
  }

  /** A call that ran has ended; `answered` if its time is worth learning. */
  finished(id: number, answered: boolean, nowMs: number): SlotEffect[] {
    const ended = this.running.get(id);
    if (!ended) return [];
    this.running.delete(id);
    if (answered)
      this.serviceTimes.record(ended.call.class, nowMs - ended.startedMs);
    return this.dispatch(nowMs);
  }

  /** The caller of a waiting call has left; false if it does not wait. */
  withdraw(id: number): boolean {
    const left = this.waiting.filter(({call}) => call.id !== id);
    const found = left.length < this.waiting.length;
    this.waiting = left;
    return found;
  }

  /** Refuses all that wait and all that follow; running calls go on. */
  close(reason: SlotRefusal): SlotEffect[] {
    this.closedBy = reason;
    const effects = this.waiting.map(({call}) => refuse(call, reason));
    this.waiting = [];
    return effects;
  }

  /** Takes calls again. */
  reopen(): void {
    this.closedBy = undefined;
  }

  /** Refuses waiting calls that can no longer be answered in time. */
  expire(nowMs: number): SlotEffect[] {
    const hopeless = this.waiting.filter(one => this.isHopeless(one, nowMs));
    return this.refuseAll(hopeless, nowMs);
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

  /** Time in ms that a new call of the rank, not late yet, would wait. */
  waitMs(rank: number, nowMs: number): number {
    const ahead = this.waiting.filter(
      ({call}) => call.rank < rank || (call.rank === rank && !call.acceptsLate),
    );
    if (ahead.length === 0 && this.running.size < this.slots) return 0;
    const free = this.freeTimes(nowMs);
    for (const {call} of ahead) this.plan(call, free, nowMs);
    return Math.max(0, (free[0] ?? nowMs) - nowMs);
  }

  /** Gives the call the first slot of `free`, until it is expected to end. */
  private plan(call: QueuedCall, free: number[], nowMs: number): void {
    const startMs = free.shift() ?? nowMs;
    insertSorted(free, startMs + this.serviceTimes.meanMs(call.class));
  }

  /**
   * Refuses what would end too late by the plan of the slots: the new call, or
   * those behind it that it has displaced.
   */
  private refuseBeyondPlan(added: QueuedCall, nowMs: number): SlotEffect[] {
    if (this.waiting.length === 0) return [];
    const free = this.freeTimes(nowMs);
    const beyond = this.waiting.filter(({call, latestEndMs}) => {
      const waitMs = Math.max(0, (free[0] ?? nowMs) - nowMs);
      const allowedMs = call === added ? waitMs * WAIT_ALLOWANCE : waitMs;
      const endMs = nowMs + allowedMs + this.serviceTimes.meanMs(call.class);
      if (endMs > latestEndMs) return true;
      this.plan(call, free, nowMs);
      return false;
    });
    return this.refuseAll(beyond, nowMs);
  }

  private refuseAll(
    refused: readonly WaitingCall[],
    nowMs: number,
  ): SlotEffect[] {
    if (refused.length === 0) return [];
    this.waiting = this.waiting.filter(one => !refused.includes(one));
    return refused.map(({call}) =>
      refuse(call, this.isExpired(call, nowMs) ? 'deadline' : 'overload'),
    );
  }

  /** When each slot is expected to be free, in order. */
  private freeTimes(nowMs: number): number[] {
    const times = [...this.running.values()].map(({call, startedMs}) => {
      const meanMs = this.serviceTimes.meanMs(call.class);
      const leftMs = startedMs + meanMs - nowMs;
      return nowMs + Math.max(leftMs, meanMs * LEAST_REMAINING_SHARE);
    });
    while (times.length < this.slots) times.push(nowMs);
    return times.sort((a, b) => a - b);
  }

  private latestEndMs(call: QueuedCall, nowMs: number): number {
    if (!call.acceptsLate) return call.targetMs - RETURN_MS;
    const leastMs = LEAST_LATE_WAIT_MS + this.serviceTimes.meanMs(call.class);
    const shareMs = (call.deadlineMs - nowMs) * LATE_SHARE;
    const latestMs = nowMs + Math.max(leastMs, shareMs);
    return Math.min(latestMs, call.deadlineMs - RETURN_MS);
  }

  private isExpired(call: QueuedCall, nowMs: number): boolean {
    const leastMs = this.serviceTimes.meanMs(call.class) / 2;
    return nowMs + Math.max(RETURN_MS, leastMs) >= call.deadlineMs;
  }

  private isHopeless({call, latestEndMs}: WaitingCall, nowMs: number): boolean {
    if (this.isExpired(call, nowMs)) return true;
    return nowMs + this.serviceTimes.meanMs(call.class) > latestEndMs;
  }

  private hasSlot({suspect}: QueuedCall): boolean {
    if (this.running.size >= this.slots) return false;
    if (!suspect) return true;
    return ![...this.running.values()].some(({call}) => call.suspect);
  }

  private dispatch(nowMs: number): SlotEffect[] {
    const effects = this.expire(nowMs);
    for (;;) {
      const call = this.takeNext();
      if (!call) return effects;
      effects.push(this.start(call, nowMs));
    }
  }

  /** The first that waits and may run: a suspect may have to wait longer. */
  private takeNext(): QueuedCall | undefined {
    const index = this.waiting.findIndex(({call}) => this.hasSlot(call));
    return index < 0 ? undefined : this.waiting.splice(index, 1)[0]?.call;
  }

  /** Keeps the order: urgent ones, those on time, the nearest target, age. */
  private insert(added: WaitingCall): void {
    const behind = this.waiting.findIndex(({call}) =>
      goesBefore(added.call, call),
    );
    const index = behind < 0 ? this.waiting.length : behind;
    this.waiting.splice(index, 0, added);
  }

  private start(call: QueuedCall, nowMs: number): SlotEffect {
    this.running.set(call.id, {call, startedMs: nowMs});
    return {type: 'run', id: call.id};
  }
}

function refuse({id}: QueuedCall, reason: SlotRefusal): SlotEffect {
  return {type: 'refuse', id, reason};
}

function goesBefore(a: QueuedCall, b: QueuedCall): boolean {
  if (a.rank !== b.rank) return a.rank < b.rank;
  if (a.acceptsLate !== b.acceptsLate) return !a.acceptsLate;
  return a.targetMs < b.targetMs;
}

function insertSorted(times: number[], time: number): void {
  let index = times.length;
  while (index > 0 && (times[index - 1] ?? 0) > time) index--;
  times.splice(index, 0, time);
}
