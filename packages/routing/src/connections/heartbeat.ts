/** Finds connections that have gone silent while they look open. */

import {readChart, StateChart} from '@turmericmill/utils';

import {RoundTrip} from './round-trip.js';

/**
 * `live`: bytes arrive. `pinging`: nothing has arrived for a while, a ping is
 * out. `silent`: the ping was not answered; no new calls use the connection
 * and a second ping is out. `replaced`: given up, its calls have failed.
 */
export type HeartbeatState = 'live' | 'pinging' | 'silent' | 'replaced';

interface HeartbeatEvent {
  type: 'QUIET' | 'RECEIVED' | 'EXPIRED';
}

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
  private readonly roundTrip: RoundTrip;

  constructor(
    private readonly times: HeartbeatTimes,
    nowMs: number,
  ) {
    this.dueAtMs = nowMs + times.idleQuietMs;
    this.roundTrip = new RoundTrip(times.pongMs);
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

  /** This process did not run for `heldMs`, and could not hear the peer. */
  held(heldMs: number): void {
    this.dueAtMs += heldMs;
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
