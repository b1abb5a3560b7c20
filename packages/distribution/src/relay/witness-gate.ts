/**
 * Delays a version that was read from the log until enough other nodes know of
 * it. A node that restarts without state while the log is unavailable queries
 * those nodes, so it cannot serve an older version than before the restart.
 */

import type {ConfigDelta} from '@turmericmill/wire';

import type {ConfigVersion} from '../replica/config-version.js';
import type {Witnesses} from './topology.js';

/**
 * Number of witnesses that have to know of a version before it comes into
 * force; all of them, if there are fewer. One has to be in another data centre
 * of the region, if there is one.
 */
export const WITNESSES_NEEDED = 2;

/** Time after which witnesses that did not answer are queried again. */
export const WITNESS_RETRY_MS = 200;

/** A version that is not witnessed yet, with the known changes up to it. */
export interface Candidate {
  version: ConfigVersion;
  deltas: ConfigDelta[];
  acceptedAtMs: number;
}

/** Keeps the newest version that is not witnessed yet. */
export class WitnessGate {
  private candidate: Candidate | undefined;
  private readonly knownVersions = new Map<string, number>();
  private nextQueryAtMs = Infinity;

  get waitingCandidate(): Candidate | undefined {
    return this.candidate;
  }

  /** Adds a version; it replaces a waiting one, whose deltas are kept. */
  offer(candidate: Candidate, nowMs: number): void {
    const earlier = this.candidate?.deltas ?? [];
    const deltas = [...earlier, ...candidate.deltas];
    this.candidate = {...candidate, deltas};
    this.nextQueryAtMs = nowMs;
  }

  /** Records that `peer` knows of `version`. */
  recordKnownVersion(peer: string, version: number): void {
    const before = this.knownVersions.get(peer) ?? version;
    this.knownVersions.set(peer, Math.max(before, version));
  }

  /** Keeps only witnesses. A departed node may return without state. */
  removeDeparted({near, far}: Witnesses): void {
    const present = new Set([...near, ...far]);
    for (const peer of this.knownVersions.keys()) {
      if (!present.has(peer)) this.knownVersions.delete(peer);
    }
  }

  /**
   * Removes and returns the version if enough of `witnesses` know of it, or if
   * the version in force is the same or newer.
   */
  release(witnesses: Witnesses, inForce: number): Candidate | undefined {
    const {candidate} = this;
    if (!candidate) return undefined;
    const {version} = candidate.version;
    if (inForce < version && !this.isWitnessed(version, witnesses)) {
      return undefined;
    }
    this.candidate = undefined;
    this.nextQueryAtMs = Infinity;
    return candidate;
  }

  /** The witnesses to query now. */
  poll({near, far}: Witnesses, nowMs: number): string[] {
    if (!this.candidate || nowMs < this.nextQueryAtMs) return [];
    this.nextQueryAtMs = nowMs + WITNESS_RETRY_MS;
    const {version} = this.candidate.version;
    return [...near, ...far].filter(peer => !this.knows(peer, version));
  }

  nextDeadlineMs(): number {
    return this.nextQueryAtMs;
  }

  private isWitnessed(version: number, {near, far}: Witnesses): boolean {
    const nearCount = near.filter(peer => this.knows(peer, version)).length;
    const farCount = far.filter(peer => this.knows(peer, version)).length;
    const needed = Math.min(WITNESSES_NEEDED, near.length + far.length);
    return (
      nearCount + farCount >= needed && farCount >= Math.min(1, far.length)
    );
  }

  private knows(peer: string, version: number): boolean {
    return (this.knownVersions.get(peer) ?? -1) >= version;
  }
}
