/** Messages of quarantine and of the metering of calls by customer. */

/** Reports a crash of a backend server. */
export interface CrashReport {
  /** Fingerprints of the requests that were running. */
  fingerprints: string[];
  /** Node, server and incarnation, so that a crash is counted only once. */
  server: string;
  /** Time of the report in ms since the epoch. */
  atMs: number;
}

/** Ends suspicion: a request that ran at a crash has since been answered. */
export interface SuspectCleared {
  fingerprint: string;
}

/** Quarantines a fingerprint: its requests are refused until `untilMs`. */
export interface Quarantine {
  fingerprint: string;
  /** Time in ms since the epoch. */
  untilMs: number;
}

/** Call counts; cumulative, so that a repeated report does no harm. */
export interface UsageReport {
  /** Calls per customer, for one incarnation of a node each. */
  nodes: {nodeId: string; incarnation: number; calls: Record<string, number>}[];
}

/** Total calls of customers that are near their limit, folded from the log. */
export interface UsageTotals {
  /** Offset of the first record that is not included. */
  offset: number;
  calls: Record<string, number>;
}
