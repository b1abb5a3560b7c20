/**
 * When and from whom a replica that is behind fetches what it lacks: one fetch
 * at a time, from a random peer that is ahead, with full jitter.
 */

import type {RandomSource} from '@turmericmill/utils';

/** A fetch without progress for so long is given up. */
export const FETCH_TIMEOUT_MS = 2000;

const RETRY_BASE_MS = 50;
const RETRY_CAP_MS = 5000;

/** Peers that are remembered as being ahead. */
const MAX_SOURCES = 32;

interface Source {
  version: number;
  /** Not asked again before this time. */
  notBeforeMs: number;
}

/** The state of a replica's fetches. */
export class Fetcher {
  private readonly sources = new Map<string, Source>();
  private attempt = 0;
  private waitUntilMs: number | undefined;
  private peer: string | undefined;
  private deadlineMs = 0;

  constructor(
    private readonly random: RandomSource,
    /** Spread of first tries in ms, in which a push may still arrive. */
    private readonly spreadMs = 0,
  ) {}

  /** The peer that is being fetched from. */
  get activePeer(): string | undefined {
    return this.peer;
  }

  /** Notes that `peer` has `version`. */
  offer(peer: string, version: number, nowMs: number): void {
    const known = this.sources.get(peer);
    const notBeforeMs = known?.notBeforeMs ?? 0;
    this.sources.delete(peer);
    this.sources.set(peer, {version, notBeforeMs});
    const oldest = this.sources.keys().next().value;
    if (this.sources.size > MAX_SOURCES && oldest !== undefined) {
      this.sources.delete(oldest);
    }
    if (this.peer !== undefined) return;
    this.waitUntilMs ??= nowMs + this.random.next() * this.spreadMs;
  }

  /** Forgets a peer that is gone. */
  forget(peer: string, nowMs: number): void {
    this.sources.delete(peer);
    if (this.peer === peer) this.fail(nowMs);
  }

  /** Gives the running fetch more time, because a part of it arrived. */
  progress(peer: string, nowMs: number): void {
    if (peer === this.peer) this.deadlineMs = nowMs + FETCH_TIMEOUT_MS;
  }

  /** The peer has no time now. */
  busy(peer: string, retryAfterMs: number, nowMs: number): void {
    const source = this.sources.get(peer);
    if (source) source.notBeforeMs = nowMs + retryAfterMs;
    if (peer === this.peer) this.fail(nowMs);
  }

  /** The peer's answer was wrong: it is not asked again. */
  reject(peer: string, nowMs: number): void {
    this.sources.delete(peer);
    if (peer === this.peer) this.fail(nowMs);
  }

  /** A version came into force: what was fetched for it is done. */
  reached(version: number): void {
    for (const [peer, source] of this.sources) {
      if (source.version <= version) this.sources.delete(peer);
    }
    this.attempt = 0;
    this.peer = undefined;
    if (this.sources.size === 0) this.waitUntilMs = undefined;
  }

  /** The peer to send a fetch to now, if it is time. */
  poll(version: number, nowMs: number): string | undefined {
    if (this.peer !== undefined) {
      if (nowMs < this.deadlineMs) return undefined;
      this.sources.delete(this.peer);
      this.fail(nowMs);
    }
    if (this.waitUntilMs === undefined || nowMs < this.waitUntilMs) {
      return undefined;
    }
    return this.choose(version, nowMs);
  }

  /** When `poll` has to be called again. */
  nextDeadlineMs(): number {
    if (this.peer !== undefined) return this.deadlineMs;
    return this.waitUntilMs ?? Infinity;
  }

  private choose(version: number, nowMs: number): string | undefined {
    const ahead = [...this.sources].filter(
      ([, source]) => source.version > version,
    );
    const free = ahead.filter(([, source]) => source.notBeforeMs <= nowMs);
    const chosen = this.random.pick(free)?.[0];
    if (chosen === undefined) {
      const times = ahead.map(([, source]) => source.notBeforeMs);
      this.waitUntilMs = ahead.length > 0 ? Math.min(...times) : undefined;
      return undefined;
    }
    this.peer = chosen;
    this.deadlineMs = nowMs + FETCH_TIMEOUT_MS;
    this.waitUntilMs = undefined;
    return chosen;
  }

  private fail(nowMs: number): void {
    this.peer = undefined;
    this.attempt++;
    const delayMs = this.random.jitter(
      RETRY_BASE_MS,
      this.attempt,
      RETRY_CAP_MS,
    );
    this.waitUntilMs = nowMs + delayMs;
  }
}
