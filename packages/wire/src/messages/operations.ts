/** Messages of quarantine and of the metering of customers. */

/** A backend server crashed. */
export interface CrashReport {
  /** Fingerprints of the requests that were running. */
  fingerprints: string[];
  /** Node, server and incarnation, so that one crash counts once. */
  server: string;
  atMs: number;
}

/** A request that was running at a crash has since been answered. */
export interface SuspectCleared {
  fingerprint: string;
}

/** A fingerprint that is refused until the deadline. */
export interface Quarantine {
  fingerprint: string;
  untilMs: number;
}

/** Cumulative counts of calls, so that repeated reports do no harm. */
export interface UsageReport {
  /** Counts by customer of one incarnation of one node. */
  nodes: {nodeId: string; incarnation: number; calls: Record<string, number>}[];
}

/** Calls used by each customer in total, folded from the log. */
export interface UsageTotals {
  offset: number;
  calls: Record<string, number>;
}
