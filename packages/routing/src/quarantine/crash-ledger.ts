/** Finds the request that crashes server after server. */

import type {CrashReport, Quarantine} from '@turmericmill/wire';
import {boundedCache} from '@turmericmill/utils';

/** Fingerprints and crashes that are remembered. */
const MAX_SUSPECTS = 10_000;
const MAX_CRASHES = 2_000;
/** Fingerprints that one report may name. */
export const MAX_REPORTED_FINGERPRINTS = 256;
/** Time in ms after its last crash for which a request stays a suspect. */
const SUSPICION_MS = 10 * 60_000;
/** Time in ms for which a quarantined request is refused. */
const QUARANTINE_MS = 60 * 60_000;
/** Crashes from which a request is quarantined even in company. */
const CERTAIN_CRASHES = 3;

/**
 * What is thought of a request. `suspect`: it was running at a crash and has
 * not completed since; only one suspect runs on a server at a time.
 */
export type RequestStanding = 'clear' | 'suspect' | 'quarantined';

interface Suspect {
  fingerprint: string;
  crashes: number;
  /** True if a server beside this node was among the crashed. */
  seenHere: boolean;
  untilMs: number;
}

/**
 * Crashes and suspects as one node knows them. Isolation of suspects is what
 * makes the second crash name one request alone. Every node learns of every
 * crash, but only a node that has itself seen a request crash its server
 * concludes on it, so that few nodes announce the same quarantine.
 */
export class CrashLedger {
  private readonly suspects = boundedCache<string, Suspect>(MAX_SUSPECTS);
  private readonly quarantined = boundedCache<string, number>(MAX_SUSPECTS);
  private readonly crashes = boundedCache<string, true>(MAX_CRASHES);

  /**
   * A server beside this node has crashed. Returns the quarantines that
   * follow, to be sent to all nodes together with the report.
   */
  recordLocalCrash(crash: CrashReport, nowMs: number): Quarantine[] {
    return this.take(crash, true, nowMs);
  }

  /** True if the crash has been taken in before. */
  hasCrash(crash: CrashReport): boolean {
    return this.crashes.has(crash.server);
  }

  /**
   * Another node reports a crash; a crash counts once, however often it is
   * reported. Returns quarantines as `crashed` does.
   */
  recordReportedCrash(crash: CrashReport, nowMs: number): Quarantine[] {
    return this.take(crash, false, nowMs);
  }

  /** Takes in a quarantine that another node has found. */
  acceptQuarantine(quarantine: Quarantine, nowMs: number): void {
    if (quarantine.untilMs <= nowMs) return;
    const knownMs = this.quarantined.get(quarantine.fingerprint) ?? 0;
    const latestMs = nowMs + QUARANTINE_MS;
    const untilMs = Math.min(latestMs, quarantine.untilMs);
    this.quarantined.set(quarantine.fingerprint, Math.max(knownMs, untilMs));
  }

  /**
   * A server has answered the request: it is no longer a suspect. Returns true
   * if it was one, so that the other nodes have to be told.
   */
  clearSuspect(fingerprint: string): boolean {
    return this.suspects.delete(fingerprint);
  }

  /** How a request has to be treated now. */
  standing(fingerprint: string, nowMs: number): RequestStanding {
    const untilMs = this.quarantined.get(fingerprint);
    if (untilMs !== undefined && nowMs < untilMs) return 'quarantined';
    const suspect = this.suspects.get(fingerprint);
    return suspect && nowMs < suspect.untilMs ? 'suspect' : 'clear';
  }

  /** Quarantines in force, for nodes that start. */
  inForce(nowMs: number): Quarantine[] {
    return [...this.quarantined.entries()]
      .filter(([, untilMs]) => nowMs < untilMs)
      .map(([fingerprint, untilMs]) => ({fingerprint, untilMs}));
  }

  private take(crash: CrashReport, own: boolean, nowMs: number): Quarantine[] {
    if (this.crashes.has(crash.server)) return [];
    this.crashes.set(crash.server, true);
    const named = [
      ...new Set(crash.fingerprints.slice(0, MAX_REPORTED_FINGERPRINTS)),
    ];
    const suspects = named.map(name => this.suspect(name, own, nowMs));
    const repeated = suspects.filter(({crashes}) => crashes >= 2);
    return repeated
      .filter(({seenHere}) => seenHere)
      .filter(
        ({crashes}) => repeated.length === 1 || crashes >= CERTAIN_CRASHES,
      )
      .map(({fingerprint}) => this.quarantine(fingerprint, nowMs));
  }

  private suspect(fingerprint: string, own: boolean, nowMs: number): Suspect {
    const known = this.suspects.get(fingerprint);
    const valid = known && nowMs < known.untilMs ? known : undefined;
    const suspect: Suspect = {
      fingerprint,
      crashes: (valid?.crashes ?? 0) + 1,
      seenHere: own || (valid?.seenHere ?? false),
      untilMs: nowMs + SUSPICION_MS,
    };
    this.suspects.set(fingerprint, suspect);
    return suspect;
  }

  private quarantine(fingerprint: string, nowMs: number): Quarantine {
    const untilMs = nowMs + QUARANTINE_MS;
    this.quarantined.set(fingerprint, untilMs);
    return {fingerprint, untilMs};
  }
}
