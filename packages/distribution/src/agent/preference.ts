/** What a deployment weighs more, and the timing that follows from it. */

/** Convergence time or control bytes. */
export type DistributionPreference = 'convergence' | 'bytes';

/** Timing and redundancy of distribution. Times in ms. */
export interface DistributionTiming {
  /** Relays that push every version; the others step in when they fail. */
  pushingRelays: number;
  /** Changes of so long a time are pushed as one. */
  batchWindowMs: number;
  /** Each further relay waits so much longer for the others' pushes. */
  backupDelayMs: number;
  /** Between two exchanges with a random peer. */
  antiEntropyMs: number;
  /** Spread of fetches after hearing of a newer version. */
  fetchJitterMs: number;
  /** Between two reports without news. */
  reportIntervalMs: number;
  /** From news to the report of it. */
  reportDelayMs: number;
}

/** The timing of each preference. */
export const DISTRIBUTION_TIMING: Readonly<
  Record<DistributionPreference, DistributionTiming>
> = {
  convergence: {
    pushingRelays: 2,
    batchWindowMs: 0,
    backupDelayMs: 100,
    antiEntropyMs: 1000,
    fetchJitterMs: 100,
    reportIntervalMs: 5000,
    reportDelayMs: 50,
  },
  bytes: {
    pushingRelays: 1,
    batchWindowMs: 1000,
    backupDelayMs: 300,
    antiEntropyMs: 4000,
    fetchJitterMs: 1500,
    reportIntervalMs: 10_000,
    reportDelayMs: 500,
  },
};
