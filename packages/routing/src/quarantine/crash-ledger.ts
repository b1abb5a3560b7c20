/** Finds the request that crashes server after server. */

import type {CrashReport, Quarantine} from '@turmericmill/wire';
import {boundedCache} from '@turmericmill/utils';

/** Maximum numbers of suspects, of quarantines and of crashes that are kept. */
const MAX_SUSPECTS = 10_000;
const MAX_CRASHES = 2_000;
/** Maximum number of fingerprints in one crash report. */
export const MAX_REPORTED_FINGERPRINTS = 256;
/** Time in ms after its last crash for which a request stays a suspect. */
const SUSPICION_MS = 10 * 60_000;
/** Time in ms for which a quarantined request is refused. */
const QUARANTINE_MS = 60 * 60_000;
/** Crashes after which a request is quarantined even if others qualify. */
const CERTAIN_CRASHES = 3;

/**
 * Status of a request. `suspect`: it was running at a crash and has
 * not completed since; only one suspect runs on a server at a time.
 */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

interface Suspect {
  fingerprint: string;
  crashes: number;
  /** True if a server of this node was among those that crashed. */
  seenHere: boolean;
  untilMs: number;
}

/**
 * Crashes and suspects known to one node. Suspects are isolated, so that the
 * second crash identifies a single request. Every node is notified of every
 * crash, but it quarantines a request only if its own server was among those
 * that crashed, so that few nodes announce the same quarantine.
 */
export class CrashLedger {
  private readonly suspects = boundedCache<string, Suspect>(MAX_SUSPECTS);
  private readonly quarantined = boundedCache<string, number>(MAX_SUSPECTS);
  private readonly crashes = boundedCache<string, true>(MAX_CRASHES);

  /**
   * Records that a server of this node has crashed. Returns the resulting
   * quarantines, to be sent to all nodes together with the report.
   */
  recordLocalCrash(crash: CrashReport, nowMs: number): Quarantine[] {
    return this.record(crash, true, nowMs);
  }

  /** True if the crash has been recorded before. */
  hasCrash(crash: CrashReport): boolean {
    return this.crashes.has(crash.server);
  }

  /**
   * Records a crash that another node reports; it counts once, however often it
   * is reported. Returns quarantines as `recordLocalCrash` does.
   */
  recordReportedCrash(crash: CrashReport, nowMs: number): Quarantine[] {
    return this.record(crash, false, nowMs);
  }

  /** Applies a quarantine that another node announced, for 1 h at most. */
  acceptQuarantine(quarantine: Quarantine, nowMs: number): void {
    if (quarantine.untilMs <= nowMs) return;
    const previousUntilMs = this.quarantined.get(quarantine.fingerprint) ?? 0;
    const latestMs = nowMs + QUARANTINE_MS;
    const untilMs = Math.min(latestMs, quarantine.untilMs);
    this.quarantined.set(
      quarantine.fingerprint,
      Math.max(previousUntilMs, untilMs),
    );
  }

  /**
   * Removes a request that a server has answered from the suspects. Returns
   * true if it was one; the other nodes have to be notified then.
   */
  clearSuspect(fingerprint: string): boolean {
    return this.suspects.delete(fingerprint);
  }

  /** Status of a request at `nowMs`. */
  statusOf(fingerprint: string, nowMs: number): QuarantineStatus {
    const untilMs = this.quarantined.get(fingerprint);
    if (untilMs !== undefined && nowMs < untilMs) return 'quarantined';
    const suspect = this.suspects.get(fingerprint);
    return suspect && nowMs < suspect.untilMs ? 'suspect' : 'clear';
  }

  /** Quarantines in force, for nodes that start. */
  activeQuarantines(nowMs: number): Quarantine[] {
    return [...this.quarantined.entries()]
      .filter(([, untilMs]) => nowMs < untilMs)
      .map(([fingerprint, untilMs]) => ({fingerprint, untilMs}));
  }

  private record(
    crash: CrashReport,
    isLocal: boolean,
    nowMs: number,
  ): Quarantine[] {
    if (this.crashes.has(crash.server)) return [];
    this.crashes.set(crash.server, true);
    const reported = [
      ...new Set(crash.fingerprints.slice(0, MAX_REPORTED_FINGERPRINTS)),
    ];
    const suspects = reported.map(fingerprint =>
      this.addSuspect(fingerprint, isLocal, nowMs),
    );
    const repeated = suspects.filter(({crashes}) => crashes >= 2);
    return repeated
      .filter(({seenHere}) => seenHere)
      .filter(
        ({crashes}) => repeated.length === 1 || crashes >= CERTAIN_CRASHES,
      )
      .map(({fingerprint}) => this.quarantine(fingerprint, nowMs));
  }

  private addSuspect(
    fingerprint: string,
    isLocal: boolean,
    nowMs: number,
  ): Suspect {
    const known = this.suspects.get(fingerprint);
    const valid = known && nowMs < known.untilMs ? known : undefined;
    const suspect: Suspect = {
      fingerprint,
      crashes: (valid?.crashes ?? 0) + 1,
      seenHere: isLocal || (valid?.seenHere ?? false),
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
