/**
 * Schedules the fetches of a replica that is behind: one fetch at a time, from
 * a random peer that is ahead, with full jitter between attempts.
 */

import type {RandomSource} from '@turmericmill/utils';

/** Time without progress after which a fetch is abandoned. */
export const FETCH_TIMEOUT_MS = 2000;

const RETRY_BASE_MS = 50;
const RETRY_CAP_MS = 5000;

/** Maximum number of peers tracked as being ahead. */
const MAX_SOURCES = 32;

interface Source {
  version: number;
  /** Earliest time of the next fetch from this peer. */
  notBeforeMs: number;
}

/** The fetch schedule of one replica. */
export class Fetcher {
  private readonly sources = new Map<string, Source>();
  private attempt = 0;
  private nextAttemptAtMs: number | undefined;
  private peer: string | undefined;
  private deadlineMs = 0;

  constructor(private readonly random: RandomSource) {}

  /** The peer of the fetch in progress. */
  get activePeer(): string | undefined {
    return this.peer;
  }

  /**
   * Records that `peer` has `version`. The first attempt is delayed by up to
   * `maxJitterMs`, during which a push may still arrive.
   */
  addSource(
    peer: string,
    version: number,
    nowMs: number,
    maxJitterMs = 0,
  ): void {
    const existing = this.sources.get(peer);
    const notBeforeMs = existing?.notBeforeMs ?? 0;
    this.sources.delete(peer);
    this.sources.set(peer, {version, notBeforeMs});
    const oldest = this.sources.keys().next().value;
    if (this.sources.size > MAX_SOURCES && oldest !== undefined) {
      this.sources.delete(oldest);
    }
    if (this.peer !== undefined) return;
    this.nextAttemptAtMs ??= nowMs + this.random.next() * maxJitterMs;
  }

  /** Removes a lost peer; a fetch from it is retried with another peer. */
  removeSource(peer: string, nowMs: number): void {
    this.sources.delete(peer);
    if (this.peer === peer) this.scheduleRetry(nowMs);
  }

  /** Extends the timeout of the fetch from `peer`, as a part arrived. */
  recordProgress(peer: string, nowMs: number): void {
    if (peer === this.peer) this.deadlineMs = nowMs + FETCH_TIMEOUT_MS;
  }

  /** The peer refused the fetch; it may be asked again after `retryAfterMs`. */
  onBusy(peer: string, retryAfterMs: number, nowMs: number): void {
    const source = this.sources.get(peer);
    if (source) source.notBeforeMs = nowMs + retryAfterMs;
    if (peer === this.peer) this.scheduleRetry(nowMs);
  }

  /** Removes a peer whose answer was wrong. */
  rejectSource(peer: string, nowMs: number): void {
    this.sources.delete(peer);
    if (peer === this.peer) this.scheduleRetry(nowMs);
  }

  /** The replica reached `version`: ends the fetch and drops peers not ahead. */
  onVersionReached(version: number): void {
    for (const [peer, source] of this.sources) {
      if (source.version <= version) this.sources.delete(peer);
    }
    this.attempt = 0;
    this.peer = undefined;
    if (this.sources.size === 0) this.nextAttemptAtMs = undefined;
  }

  /** The peer to fetch from now; undefined if no fetch may start. */
  poll(version: number, nowMs: number): string | undefined {
    if (this.peer !== undefined) {
      if (nowMs < this.deadlineMs) return undefined;
      this.sources.delete(this.peer);
      this.scheduleRetry(nowMs);
    }
    if (this.nextAttemptAtMs === undefined || nowMs < this.nextAttemptAtMs) {
      return undefined;
    }
    return this.selectSource(version, nowMs);
  }

  /** Time in ms at which to call `poll` again. */
  nextDeadlineMs(): number {
    if (this.peer !== undefined) return this.deadlineMs;
    return this.nextAttemptAtMs ?? Infinity;
  }

  private selectSource(version: number, nowMs: number): string | undefined {
    const ahead = [...this.sources].filter(
      ([, source]) => source.version > version,
    );
    const available = ahead.filter(([, source]) => source.notBeforeMs <= nowMs);
    const chosen = this.random.pick(available)?.[0];
    if (chosen === undefined) {
      const times = ahead.map(([, source]) => source.notBeforeMs);
      this.nextAttemptAtMs = ahead.length > 0 ? Math.min(...times) : undefined;
      return undefined;
    }
    this.peer = chosen;
    this.deadlineMs = nowMs + FETCH_TIMEOUT_MS;
    this.nextAttemptAtMs = undefined;
    return chosen;
  }

  private scheduleRetry(nowMs: number): void {
    this.peer = undefined;
    this.attempt++;
    const delayMs = this.random.jitter(
      RETRY_BASE_MS,
      this.attempt,
      RETRY_CAP_MS,
    );
    this.nextAttemptAtMs = nowMs + delayMs;
  }
}
