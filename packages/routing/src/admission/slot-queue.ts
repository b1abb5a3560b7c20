/**
 * The queue of one backend server, designed for overloads of several seconds
 * and deadlines of a few service times. A call waits only while the planned use
 * of the slots lets it end in time. Other calls are refused at once, so that
 * their callers may try another server or retry later. Late calls, which accept
 * an answer after their target, wait behind all other calls of their rank. Calls
 * of tenants share the slots fairly within a rank.
 */

import {ClassLoads} from './class-loads.js';
import {ServiceTimes} from './service-times.js';
import type {StartPace} from './start-pace.js';
import {TenantShares, type TaggedCall} from './tenant-shares.js';

/** Minimum share of its class's mean time still expected of a running call. */
const MIN_REMAINING_SHARE = 0.2;
/** Time in ms that an answer is in transit to the caller. */
const RETURN_MS = 10;
/**
 * Share of its remaining time in which a late call has to end. In an overload,
 * longer waits bring no more answers, only later refusals.
 */
const LATE_CALL_TIME_SHARE = 0.4;
/** Minimum time in ms for which a late call may wait for a free slot. */
const MIN_LATE_WAIT_MS = 100;
/** Largest factor on the planned wait of a new call. */
const MAX_WAIT_FACTOR = 6;

/** A call that needs a slot. */
export interface QueuedCall {
  id: number;
  /** Calls of one class take about equally long. */
  class: string;
  /** 0 is the most urgent. */
  rank: number;
  /** Time in ms by which an answer is on time, and worth most. */
  targetMs: number;
  /** Time in ms after which an answer is useless. */
  deadlineMs: number;
  /** True if an answer after the target is wanted rather than a refusal. */
  acceptsLate: boolean;
  /**
   * Time in ms that the answer takes to the caller, if it is long; a call that
   * would be too late for that reason is refused though a slot is free.
   */
  returnMs?: number;
  /** True if the call may crash the server: only one suspect runs at a time. */
  suspect: boolean;
  /** Tenant whose share the call counts towards. */
  tenant?: string | undefined;
}

export type SlotRefusal =
  'overload' | 'deadline' | 'draining' | 'server-failed';

/** Every call offered ends in exactly one of these. */
export type SlotEffect =
  {type: 'run'; id: number} | {type: 'refuse'; id: number; reason: SlotRefusal};

interface RunningCall {
  call: QueuedCall;
  startMs: number;
  /** Slot time in ms that the tenant was charged at the start. */
  chargedMs: number;
}

interface WaitingCall {
  call: QueuedCall;
  /** Time in ms by which the call has to end for its wait to be useful. */
  latestEndMs: number;
}

/** What is known of a server when it starts. */
export interface ServerStartTerms {
  /** Time in ms that warm servers take for a class; undefined if unknown. */
  expectedMs?: (cls: string) => number | undefined;
  /** Absent if the server is announced with all slots at once. */
  pace?: StartPace;
  /** Called when the announced number of slots has changed. */
  onPaceChanged?: () => void;
}

/** Slots and waiting calls of one incarnation of a server. */
export class SlotQueue {
  readonly serviceTimes: ServiceTimes;
  private readonly loads = new ClassLoads();
  private readonly shares = new TenantShares();
  private readonly running = new Map<number, RunningCall>();
  /** In the order in which they get slots, but for the shares of tenants. */
  private waiting: WaitingCall[] = [];
  private closedReason: SlotRefusal | undefined;

  constructor(
    private slots: number,
    private readonly startTerms: ServerStartTerms = {},
  ) {
    this.serviceTimes = new ServiceTimes(startTerms.expectedMs);
  }

  /** Sets the number of slots, at least 1. */
  resize(slots: number, nowMs: number): SlotEffect[] {
    this.slots = Math.max(1, slots);
    this.startTerms.pace?.resize(this.slots);
    return this.dispatch(nowMs);
  }

  /** Runs, queues or refuses a new call; refuses calls that it displaces. */
  offer(call: QueuedCall, nowMs: number): SlotEffect[] {
    const slackMs = call.targetMs - nowMs;
    if (slackMs > 0 && !call.acceptsLate) {
      this.loads.recordArrival(loadKey(call), call.rank, slackMs);
    }
    if (this.closedReason) return [refuse(call, this.closedReason)];
    if (this.isExpired(call, nowMs)) return [refuse(call, 'deadline')];
    if (this.wouldReturnLate(call, nowMs)) return [refuse(call, 'overload')];
    if (this.hasSlot(call) && this.waiting.length === 0) {
      return [this.start(call, nowMs)];
    }
    this.insert({call, latestEndMs: this.latestEndMs(call, nowMs)});
    return [...this.dispatch(nowMs), ...this.refuseOverdue(call, nowMs)];
  }

  /** Releases the slot of a call that ended; records its time if `answered`. */
  finished(id: number, answered: boolean, nowMs: number): SlotEffect[] {
    const run = this.running.get(id);
    if (!run) return [];
    this.running.delete(id);
    const {call, startMs, chargedMs} = run;
    const ranMs = nowMs - startMs;
    this.shares.finished(call, ranMs - chargedMs);
    this.loads.recordRun(loadKey(call), ranMs, nowMs);
    if (answered) this.recordAnswer(call.class, ranMs);
    return this.dispatch(nowMs);
  }

  private recordAnswer(cls: string, elapsedMs: number): void {
    const {expectedMs, pace, onPaceChanged} = this.startTerms;
    const answer = {elapsedMs, expectedMs: expectedMs?.(cls)};
    this.serviceTimes.record(cls, elapsedMs);
    if (pace?.answered(answer)) onPaceChanged?.();
  }

  /** Removes a waiting call whose caller has left; false if not waiting. */
  withdraw(id: number): boolean {
    const rest = this.waiting.filter(({call}) => call.id !== id);
    const found = rest.length < this.waiting.length;
    this.waiting = rest;
    return found;
  }

  /** Refuses all waiting and all new calls; running ones continue. */
  close(reason: SlotRefusal): SlotEffect[] {
    this.closedReason = reason;
    const effects = this.waiting.map(({call}) => refuse(call, reason));
    this.waiting = [];
    return effects;
  }

  /** Accepts calls again after `close`. */
  reopen(): void {
    this.closedReason = undefined;
  }

  /** Refuses waiting calls that can no longer be answered in time. */
  expire(nowMs: number): SlotEffect[] {
    const unservable = this.waiting.filter(entry =>
      this.isUnservable(entry, nowMs),
    );
    return this.refuseAll(unservable, nowMs);
  }

  get inFlight(): number {
    return this.running.size;
  }

  get queued(): number {
    return this.waiting.length;
  }

  /** Calls at once for which the server is announced; 0 while closed. */
  get limit(): number {
    if (this.closedReason) return 0;
    return this.startTerms.pace?.announcedSlots ?? this.slots;
  }

  /**
   * Expected wait in ms of a new call of the rank that is not late yet, and of
   * the tenant if one is given.
   */
  waitMs(rank: number, nowMs: number, tenant?: string): number {
    const ahead = this.waitingBefore(rank, tenant);
    if (ahead.length === 0 && this.running.size < this.slots) return 0;
    const freeAtMs = this.freeTimes(nowMs);
    for (const call of ahead) this.plan(call, freeAtMs, nowMs);
    return Math.max(0, (freeAtMs[0] ?? nowMs) - nowMs);
  }

  /** Assigns the slot that is free first to the call until its expected end. */
  private plan(call: QueuedCall, freeAtMs: number[], nowMs: number): void {
    const startMs = freeAtMs.shift() ?? nowMs;
    insertSorted(freeAtMs, startMs + this.serviceTimes.meanMs(call.class));
  }

  /**
   * Refuses the calls that would end too late by the plan of the slots: the new
   * call, or those behind it that it has displaced.
   */
  private refuseOverdue(added: QueuedCall, nowMs: number): SlotEffect[] {
    if (this.waiting.length === 0) return [];
    const freeAtMs = this.freeTimes(nowMs);
    const overdue: WaitingCall[] = [];
    for (const {entry} of this.inOrder()) {
      const {call, latestEndMs} = entry;
      const waitMs = Math.max(0, (freeAtMs[0] ?? nowMs) - nowMs);
      const expectedWaitMs =
        call === added ? waitMs * this.overtakingFactor(call, nowMs) : waitMs;
      const endMs =
        nowMs + expectedWaitMs + this.serviceTimes.meanMs(call.class);
      if (endMs > latestEndMs) overdue.push(entry);
      else this.plan(call, freeAtMs, nowMs);
    }
    return this.refuseAll(overdue, nowMs);
  }

  /**
   * Factor by which a planned wait grows, as more urgent calls arrive meanwhile
   * and are queued ahead. Squared: a call that is refused late has lost its
   * time, one that is refused at once may go elsewhere.
   */
  private overtakingFactor(call: QueuedCall, nowMs: number): number {
    const {rank, acceptsLate, tenant} = call;
    // All calls on time go before a late one, so what runs now shows its place.
    if (acceptsLate && this.running.size >= this.slots) return MAX_WAIT_FACTOR;
    // Equally urgent arrivals overtake by shares, whatever their classes. To count
    // on that refused up to 0.03 more of the calls of tenants within their share.
    const slackMs = tenant === undefined ? call.targetMs - nowMs : -Infinity;
    const share = this.loads.shareBefore(rank, slackMs, this.slots, nowMs);
    return Math.min(MAX_WAIT_FACTOR, Math.max(0, 1 - share) ** -2);
  }

  private refuseAll(
    refused: readonly WaitingCall[],
    nowMs: number,
  ): SlotEffect[] {
    if (refused.length === 0) return [];
    this.waiting = this.waiting.filter(entry => !refused.includes(entry));
    return refused.map(({call}) =>
      refuse(call, this.isExpired(call, nowMs) ? 'deadline' : 'overload'),
    );
  }

  /** Times in ms at which the slots are expected to be free, ascending. */
  private freeTimes(nowMs: number): number[] {
    const times = [...this.running.values()].map(({call, startMs}) => {
      const meanMs = this.serviceTimes.meanMs(call.class);
      const remainingMs = startMs + meanMs - nowMs;
      return nowMs + Math.max(remainingMs, meanMs * MIN_REMAINING_SHARE);
    });
    while (times.length < this.slots) times.push(nowMs);
    return times.sort((a, b) => a - b);
  }

  private latestEndMs(call: QueuedCall, nowMs: number): number {
    const returnMs = Math.max(RETURN_MS, call.returnMs ?? 0);
    if (!call.acceptsLate) return call.targetMs - returnMs;
    const minMs = MIN_LATE_WAIT_MS + this.serviceTimes.meanMs(call.class);
    const shareMs = (call.deadlineMs - nowMs) * LATE_CALL_TIME_SHARE;
    const returnByMs = nowMs + Math.max(minMs, shareMs);
    const latestMs = returnByMs - (call.returnMs ?? 0);
    return Math.min(latestMs, call.deadlineMs - returnMs);
  }

  /** True if the answer would be too late because of its way to the caller. */
  private wouldReturnLate(call: QueuedCall, nowMs: number): boolean {
    if (!call.returnMs || call.returnMs <= RETURN_MS) return false;
    const endMs = nowMs + this.serviceTimes.meanMs(call.class);
    return endMs > this.latestEndMs(call, nowMs);
  }

  private isExpired(call: QueuedCall, nowMs: number): boolean {
    const minMs = this.serviceTimes.meanMs(call.class) / 2;
    return nowMs + Math.max(RETURN_MS, minMs) >= call.deadlineMs;
  }

  private isUnservable(
    {call, latestEndMs}: WaitingCall,
    nowMs: number,
  ): boolean {
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

  /** Removes and returns the first call that may run; may skip suspects. */
  private takeNext(): QueuedCall | undefined {
    for (const {entry} of this.inOrder()) {
      if (!this.hasSlot(entry.call)) continue;
      this.waiting.splice(this.waiting.indexOf(entry), 1);
      return entry.call;
    }
    return undefined;
  }

  /** Returns the waiting calls in the order in which they get slots. */
  private inOrder(): TaggedCall<WaitingCall>[] {
    return this.shares.order(this.waiting, ({call}) =>
      this.serviceTimes.meanMs(call.class),
    );
  }

  /** Waiting calls that go before a new call that is not late yet. */
  private waitingBefore(rank: number, tenant?: string): QueuedCall[] {
    const ahead = this.inOrder().filter(({entry: {call}}) =>
      call.rank === rank ? !call.acceptsLate : call.rank < rank,
    );
    const calls = ahead.map(({entry}) => entry.call);
    if (tenant === undefined) return calls;
    const last = ahead.findLast(
      ({entry: {call}}) => call.rank === rank && call.tenant === tenant,
    );
    const excessMs = last
      ? last.excessMs + this.serviceTimes.meanMs(last.entry.call.class)
      : this.shares.excessMs(rank, tenant);
    return calls.filter(
      (call, index) =>
        call.rank < rank || (ahead[index]?.excessMs ?? 0) <= excessMs,
    );
  }

  /** Keeps the order: by rank, on time before late, by target, oldest first. */
  private insert(added: WaitingCall): void {
    const behind = this.waiting.findIndex(({call}) =>
      goesBefore(added.call, call),
    );
    const index = behind < 0 ? this.waiting.length : behind;
    this.waiting.splice(index, 0, added);
  }

  private start(call: QueuedCall, nowMs: number): SlotEffect {
    const chargedMs = this.serviceTimes.meanMs(call.class);
    this.shares.started(call, chargedMs, nowMs);
    this.running.set(call.id, {call, startMs: nowMs, chargedMs});
    return {type: 'run', id: call.id};
  }
}

function refuse({id}: QueuedCall, reason: SlotRefusal): SlotEffect {
  return {type: 'refuse', id, reason};
}

/** Calls of a class may have several ranks if they have tenants. */
function loadKey({class: name, rank, tenant}: QueuedCall): string {
  return tenant === undefined ? name : `${rank} ${name}`;
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
