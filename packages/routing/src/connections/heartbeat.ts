/** Finds connections that have gone silent while they look open. */

import {readChart, StateChart} from '@turmericmill/utils';

import {RoundTripEstimator} from './round-trip.js';

/**
 * `live`: bytes arrive. `pinging`: nothing has arrived for a while, a ping is
 * out. `silent`: the ping was not answered; no new calls use the connection
 * and a second ping is out. `unreachable`: the peer is being asked over another
 * connection, too, and has not answered there. `forgotten`: it has answered
 * there, so that this connection no longer leads to it. `replaced`: given up,
 * its calls have failed.
 */
export type HeartbeatState =
  'live' | 'pinging' | 'silent' | 'unreachable' | 'forgotten' | 'replaced';

interface HeartbeatEvent {
  type: 'QUIET' | 'RECEIVED' | 'EXPIRED' | 'ASKED' | 'ANSWERED';
}

/** Least wait in ms for a peer that answers on no connection. */
const UNREACHABLE_MS = 800;
/** The same for one that has answered late before, and how long at most. */
const UNREACHABLE_ROUND_TRIPS = 2;
const MAX_UNREACHABLE_MS = 2_000;
/** Time in ms in which an answer that was sent first may arrive second. */
const CROSSING_MS = 50;

/** Times in ms: quiet until a ping, and least wait for each pong. */
export interface HeartbeatTimes {
  /** Quiet time while calls are in flight. */
  busyQuietMs: number;
  /** Quiet time while the connection is unused. */
  idleQuietMs: number;
  pongMs: number;
}

/** `ping`: send one. `replace`: open another and fail this one's calls. */
export type HeartbeatEffect = 'ping' | 'replace';

const chart = new StateChart<HeartbeatState, HeartbeatEvent>(
  readChart(import.meta.url, './heartbeat.chart.json'),
);

/** Heartbeat of one connection; other connections are not touched by it. */
export class Heartbeat {
  private current = chart.initial;
  private dueAtMs: number;
  /** End in ms of the wait for the second pong. */
  private secondDueAtMs = 0;
  private readonly roundTrip: RoundTripEstimator;

  constructor(
    private readonly times: HeartbeatTimes,
    nowMs: number,
  ) {
    this.dueAtMs = nowMs + times.idleQuietMs;
    this.roundTrip = new RoundTripEstimator(times.pongMs);
  }

  get state(): HeartbeatState {
    return this.current;
  }

  /** True while new calls may use the connection. */
  get usable(): boolean {
    return this.current === 'live' || this.current === 'pinging';
  }

  /** Time in ms since the epoch at which `tick` has work. */
  get dueMs(): number {
    return this.current === 'replaced' ? Infinity : this.dueAtMs;
  }

  /** Bytes of any kind have arrived. */
  received(busy: boolean, nowMs: number): void {
    this.current = chart.next(this.current, {type: 'RECEIVED'});
    this.dueAtMs = nowMs + this.quietMs(busy);
  }

  /** A ping was answered after `roundTripMs`. */
  answered(roundTripMs: number, nowMs: number): void {
    this.roundTrip.sample(roundTripMs, nowMs);
  }

  /** Adds the time in which this process did not run and heard nothing. */
  postpone(heldMs: number): void {
    this.dueAtMs += heldMs;
    this.secondDueAtMs += heldMs;
  }

  /** Pings ahead of time, to learn whether the peer answers here. */
  pingNow(nowMs: number): void {
    if (this.current !== 'live') return;
    this.current = chart.next(this.current, {type: 'QUIET'});
    this.dueAtMs = nowMs + this.roundTrip.waitMs(nowMs);
  }

  /** The peer is asked over another connection, after the second ping here. */
  askedElsewhere(nowMs: number): void {
    if (this.current !== 'silent') return;
    this.current = chart.next(this.current, {type: 'ASKED'});
    this.secondDueAtMs = this.dueAtMs;
    const slowMs = UNREACHABLE_ROUND_TRIPS * this.roundTrip.usualMs(nowMs);
    this.dueAtMs =
      nowMs + Math.max(UNREACHABLE_MS, Math.min(MAX_UNREACHABLE_MS, slowMs));
  }

  /** The peer has answered there. */
  answeredElsewhere(nowMs: number): void {
    if (this.current !== 'unreachable') return;
    this.current = chart.next(this.current, {type: 'ANSWERED'});
    this.dueAtMs = Math.max(this.secondDueAtMs, nowMs + CROSSING_MS);
  }

  /** A call was sent: quiet time now counts as that of a busy connection. */
  sent(nowMs: number): void {
    if (this.current !== 'live') return;
    this.dueAtMs = Math.min(this.dueAtMs, nowMs + this.times.busyQuietMs);
  }

  /** Moves on when the due time has come. */
  tick(nowMs: number): HeartbeatEffect | undefined {
    if (nowMs < this.dueMs) return undefined;
    const type = this.current === 'live' ? 'QUIET' : 'EXPIRED';
    this.current = chart.next(this.current, {type});
    this.dueAtMs = nowMs + this.roundTrip.waitMs(nowMs);
    return this.current === 'replaced' ? 'replace' : 'ping';
  }

  private quietMs(busy: boolean): number {
    return busy ? this.times.busyQuietMs : this.times.idleQuietMs;
  }
}
