/**
 * Proves how old the version in force is. Load pattern: notices are held back in
 * sockets, or read by a process that was suspended, and the clocks of hosts
 * differ and step. A notice by itself therefore proves nothing: the answer to a
 * question of this node was created after the question was sent, so that its age
 * counts from then on, by one clock.
 */

import type {Bus} from '@turmericmill/node';
import {ConfigFreshness} from '@turmericmill/routing';
import {
  ProgressClock,
  type Clock,
  type RandomSource,
} from '@turmericmill/utils';
import type {ConfigAsk, ConfigNotice} from '@turmericmill/wire';

import type {StoreRead} from './source-choice.js';

/**
 * Least time in ms between two questions to the nodes that send notices: shorter
 * than the 300 ms between the notices of one node, so that each one is followed by
 * a question. With 500 ms, ages were 300 ms higher.
 */
const ASK_INTERVAL_MS = 250;
/** Share of the freshness limit from which any other nodes are asked too. */
const SEARCH_SHARE = 0.4;
/** Questions whose answers are awaited; later ones replace the oldest. */
const MAX_OPEN_ASKS = 64;
/** Range of the first nonce: answers to an earlier process match none. */
const NONCE_RANGE = 2 ** 40;

export interface ConfigConfirmationParts {
  freshness: ConfigFreshness;
  /** Goes on while the host is suspended. */
  clock: Clock;
  random: RandomSource;
  bus: Bus;
}

export class ConfigConfirmation {
  /** Time in ms at which each question was sent, by nonce. */
  private readonly openAsks = new Map<number, number>();
  private nextNonce: number;
  private nextAskMs = -Infinity;
  /** Version in force; 0 while there is none. */
  private version = 0;
  /** True if keys are valid only while the version in force is confirmed. */
  private isNeeded = false;
  /** Version that the store had when this node last read its newest document. */
  private storeVersion: number | undefined;

  constructor(private readonly parts: ConfigConfirmationParts) {
    const {freshness, random, bus} = parts;
    const {isStrict} = freshness;
    this.nextNonce = isStrict ? random.nextInt(NONCE_RANGE) : 0;
    bus.subscribe('mesh-config', ({config: {version, tenants}}) => {
      this.version = version;
      this.isNeeded = isStrict && tenants !== undefined;
    });
  }

  get isFresh(): boolean {
    return this.parts.freshness.isFresh(this.now());
  }

  /** Time in ms since the last confirmation; Infinity before any. */
  get ageMs(): number {
    return this.parts.freshness.ageMs(this.now());
  }

  /** Time in ms to be passed to `recordRead`, taken before the store is read. */
  now(): number {
    return this.parts.clock.now();
  }

  /** Asks a node that has just sent a notice, unless one was asked lately. */
  askSource(peerId: string): void {
    if (this.isNeeded && this.now() >= this.nextAskMs) this.ask(peerId);
  }

  /** Asks the nodes that `pick` returns while the sources confirm nothing. */
  search(pick: () => readonly string[]): void {
    const {freshness} = this.parts;
    const searchAgeMs = freshness.limitMs * SEARCH_SHARE;
    if (!this.isNeeded || freshness.ageMs(this.now()) <= searchAgeMs) return;
    for (const peerId of pick()) this.ask(peerId);
  }

  private ask(nodeId: string): void {
    const body = {version: this.version, ...this.openAsk()};
    const message = {type: 'configAsk', body} as const;
    this.parts.bus.publish('send-peer', {nodeId, message});
  }

  /** Returns the fields of a question that make its answer a proof. */
  openAsk(): Pick<ConfigAsk, 'nonce'> {
    if (!this.parts.freshness.isStrict) return {};
    const nonce = this.nextNonce;
    const now = this.now();
    this.nextNonce += 1;
    this.nextAskMs = now + ASK_INTERVAL_MS;
    this.openAsks.set(nonce, now);
    for (const oldest of this.openAsks.keys()) {
      if (this.openAsks.size <= MAX_OPEN_ASKS) break;
      this.openAsks.delete(oldest);
    }
    return {nonce};
  }

  /** Returns the fields of an answer that make it a proof. */
  answerTo({nonce}: ConfigAsk): Pick<ConfigNotice, 'nonce' | 'confirmedAgeMs'> {
    const confirmedAgeMs = this.parts.freshness.ageMs(this.now());
    if (nonce === undefined || !Number.isFinite(confirmedAgeMs)) return {};
    return {nonce, confirmedAgeMs};
  }

  /** Records a notice that answers a question, if it is of the version in force. */
  recordNotice({version, nonce, confirmedAgeMs}: ConfigNotice): void {
    if (version !== this.version) return;
    if (nonce === undefined || confirmedAgeMs === undefined) return;
    const askedMs = this.openAsks.get(nonce);
    if (askedMs === undefined) return;
    this.openAsks.delete(nonce);
    this.parts.freshness.confirm(askedMs - confirmedAgeMs);
  }

  /**
   * Records a read of the store that began at `startMs`. `found`: version of the
   * newest document in its answer, if there is one. A store that has an earlier
   * version than the one in force has lost some, and proves nothing.
   */
  recordRead(
    read: StoreRead,
    startMs: number,
    found: number | undefined,
  ): void {
    // A read that does not wait returns the newest document, if there is one.
    const isWhole = read.waitMs === 0;
    if (found !== undefined || isWhole) this.storeVersion = found;
    if (this.version === 0 || this.storeVersion !== this.version) return;
    this.parts.freshness.confirm(startMs + provenWaitMs(read));
  }
}

/**
 * Creates the confirmation of a node. `revokeMs`: bound of a revocation in ms;
 * undefined if it is not strict.
 */
export function createConfirmation(
  revokeMs: number | undefined,
  parts: Omit<ConfigConfirmationParts, 'freshness'>,
): ConfigConfirmation {
  const freshness = new ConfigFreshness(revokeMs);
  const clock = new ProgressClock(parts.clock);
  return new ConfigConfirmation({...parts, freshness, clock});
}

/** Time in ms for which the store has certainly waited before it answered. */
function provenWaitMs(read: StoreRead): number {
  const {sentMs, receivedMs, waitMs, isUnchanged} = read;
  return isUnchanged && receivedMs - sentMs >= waitMs ? waitMs : 0;
}

/** True for the regular notice of a node that forwards what it reads. */
export function isBeacon({document, change}: ConfigNotice): boolean {
  return !document && !change;
}

/** True for an answer that only confirms the version of the node that asked. */
export function isConfirmation(notice: ConfigNotice): boolean {
  const {nonce, document, change} = notice;
  return nonce !== undefined && !document && !change;
}
