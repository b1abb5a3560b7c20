/** Preference of a deployment for speed or traffic, and the resulting timing. */

/** Whether to minimize convergence time or control traffic. */
export type DistributionPreference = 'convergence' | 'bytes';

/** Timing and redundancy of distribution. Times in ms. */
export interface DistributionTiming {
  /** Number of relays that push every version; others push if these fail. */
  pushingRelays: number;
  /** Time during which changes are batched into one push. */
  batchWindowMs: number;
  /** Additional time that each further relay waits for the others to push. */
  backupDelayMs: number;
  /** Mean interval between two anti-entropy exchanges with a random peer. */
  antiEntropyIntervalMs: number;
  /** Maximum jitter of the first fetch after a newer version becomes known. */
  fetchJitterMs: number;
  /** Interval between two version reports without changes. */
  reportIntervalMs: number;
  /** Delay from a change to its report. */
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
    antiEntropyIntervalMs: 1000,
    fetchJitterMs: 100,
    reportIntervalMs: 5000,
    reportDelayMs: 50,
  },
  bytes: {
    pushingRelays: 1,
    batchWindowMs: 1000,
    backupDelayMs: 300,
    antiEntropyIntervalMs: 4000,
    fetchJitterMs: 1500,
    reportIntervalMs: 10_000,
    reportDelayMs: 500,
  },
};
