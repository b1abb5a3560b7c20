/**
 * Holds a version that was read from the log until enough other nodes know of
 * it. A node that restarts without memory while the log is down asks those
 * nodes, and so cannot serve less than it served before.
 */

import type {ConfigDelta} from '@turmericmill/wire';

import type {ConfigVersion} from '../replica/config-version.js';
import type {Witnesses} from './topology.js';

/**
 * Nodes that have to know of a version before it comes into force, one of them
 * in another data centre.
 */
export const WITNESSES_NEEDED = 2;

/** Time after which witnesses that did not answer are asked again. */
export const WITNESS_RETRY_MS = 200;

/** A version that waits, with the changes that led to it as far as known. */
export interface Candidate {
  version: ConfigVersion;
  deltas: ConfigDelta[];
  acceptedAtMs: number;
}

/** The newest version that waits for witnesses. */
export class WitnessGate {
  private candidate: Candidate | undefined;
  private readonly knownBy = new Map<string, number>();
  private askAtMs = Infinity;

  get waiting(): Candidate | undefined {
    return this.candidate;
  }

  /** Puts a version in; it replaces an older one that still waits. */
  offer(candidate: Candidate, nowMs: number): void {
    const earlier = this.candidate?.deltas ?? [];
    const deltas = [...earlier, ...candidate.deltas];
    this.candidate = {...candidate, deltas};
    this.askAtMs = nowMs;
  }

  /** Notes that `peer` knows of `version`. */
  note(peer: string, version: number): void {
    const known = this.knownBy.get(peer) ?? version;
    this.knownBy.set(peer, Math.max(known, version));
  }

  /** Forgets nodes that are gone: they may come back without memory. */
  keepOnly({near, far}: Witnesses): void {
    const present = new Set([...near, ...far]);
    for (const peer of this.knownBy.keys()) {
      if (!present.has(peer)) this.knownBy.delete(peer);
    }
  }

  /**
   * Takes the version out if enough of `witnesses` know of it, or if a version
   * not below it is in force already.
   */
  release(witnesses: Witnesses, inForce: number): Candidate | undefined {
    const {candidate} = this;
    if (!candidate) return undefined;
    const {version} = candidate.version;
    if (inForce < version && !this.isWitnessed(version, witnesses)) {
      return undefined;
    }
    this.candidate = undefined;
    this.askAtMs = Infinity;
    return candidate;
  }

  /** The witnesses to ask now. */
  poll({near, far}: Witnesses, nowMs: number): string[] {
    if (!this.candidate || nowMs < this.askAtMs) return [];
    this.askAtMs = nowMs + WITNESS_RETRY_MS;
    const {version} = this.candidate.version;
    return [...near, ...far].filter(peer => !this.knows(peer, version));
  }

  nextDeadlineMs(): number {
    return this.askAtMs;
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
    return (this.knownBy.get(peer) ?? -1) >= version;
  }
}
