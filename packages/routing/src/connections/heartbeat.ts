/** Detects connections that look open although nothing arrives any more. */

import {readChart, StateChart} from '@turmericmill/utils';

import {RoundTripEstimator} from './round-trip.js';

/**
 * `live`: bytes arrive. `pinging`: nothing has arrived for a while, and a ping
 * was sent. `silent`: the ping was not answered; new calls do not use the
 * connection, and a second ping was sent. `unreachable`: the peer is also being
 * probed over another connection and has not answered there. `forgotten`: it
 * has answered there, so this connection no longer leads to it. `replaced`: the
 * connection is abandoned and its calls have failed.
 */
export type HeartbeatState =
  'live' | 'pinging' | 'silent' | 'unreachable' | 'forgotten' | 'replaced';

interface HeartbeatEvent {
  type: 'QUIET' | 'RECEIVED' | 'EXPIRED' | 'ASKED' | 'ANSWERED';
}

/** Minimum wait in ms for a peer that answers on no connection. */
const MIN_UNREACHABLE_MS = 800;
/** The same for a slow peer, in usual round trips, and its maximum in ms. */
const UNREACHABLE_ROUND_TRIPS = 2;
const MAX_UNREACHABLE_MS = 2_000;
/** Time in ms by which an answer sent first may arrive after a later one. */
const REORDERING_MS = 50;

/** Times in ms: quiet until a ping, and minimum wait for each pong. */
export interface HeartbeatTimes {
  /** Quiet time while calls are in flight. */
  busyQuietMs: number;
  /** Quiet time while the connection is unused. */
  idleQuietMs: number;
  pongMs: number;
}

/** `ping`: send one. `replace`: open another and fail the calls of this one. */
export type HeartbeatEffect = 'ping' | 'replace';

const chart = new StateChart<HeartbeatState, HeartbeatEvent>(
  readChart(import.meta.url, './heartbeat.chart.json'),
);

/** Heartbeat of one connection; it does not affect other connections. */
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

  /** Time in ms since the epoch at which to call `tick`. */
  get dueMs(): number {
    return this.current === 'replaced' ? Infinity : this.dueAtMs;
  }

  /** Records that bytes of any kind have arrived. */
  received(busy: boolean, nowMs: number): void {
    this.current = chart.next(this.current, {type: 'RECEIVED'});
    this.dueAtMs = nowMs + this.quietMs(busy);
  }

  /** Records that a ping was answered after `roundTripMs`. */
  answered(roundTripMs: number, nowMs: number): void {
    this.roundTrip.sample(roundTripMs, nowMs);
  }

  /** Extends the waits by the time in ms for which this process was paused. */
  postpone(pausedMs: number): void {
    this.dueAtMs += pausedMs;
    this.secondDueAtMs += pausedMs;
  }

  /** Records that a ping is sent early, to test whether the peer answers. */
  pingNow(nowMs: number): void {
    if (this.current !== 'live') return;
    this.current = chart.next(this.current, {type: 'QUIET'});
    this.dueAtMs = nowMs + this.roundTrip.waitMs(nowMs);
  }

  /**
   * Records that the peer is probed over another connection, after the second
   * ping here.
   */
  probedElsewhere(nowMs: number): void {
    if (this.current !== 'silent') return;
    this.current = chart.next(this.current, {type: 'ASKED'});
    this.secondDueAtMs = this.dueAtMs;
    const slowPeerMs = UNREACHABLE_ROUND_TRIPS * this.roundTrip.usualMs(nowMs);
    this.dueAtMs =
      nowMs +
      Math.max(MIN_UNREACHABLE_MS, Math.min(MAX_UNREACHABLE_MS, slowPeerMs));
  }

  /** Records that the peer has answered on the other connection. */
  answeredElsewhere(nowMs: number): void {
    if (this.current !== 'unreachable') return;
    this.current = chart.next(this.current, {type: 'ANSWERED'});
    this.dueAtMs = Math.max(this.secondDueAtMs, nowMs + REORDERING_MS);
  }

  /** Records that a call was sent: `busyQuietMs` applies from now on. */
  sent(nowMs: number): void {
    if (this.current !== 'live') return;
    this.dueAtMs = Math.min(this.dueAtMs, nowMs + this.times.busyQuietMs);
  }

  /** Enters the next state once the due time has come. */
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
