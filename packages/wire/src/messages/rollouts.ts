/** Messages of roll-outs of a new server version; none without an order. */

/** `completed` and `rolled-back` are final. */
export type RolloutPhaseName =
  'trial' | 'closing' | 'completed' | 'rolled-back';

/** State in force of an order, from its coordinator to all nodes. */
export interface RolloutState {
  service: string;
  /** Offset of the order's record; a later order has a higher one. */
  orderOffset: number;
  targetVersion: string;
  /** Term of the coordinator. */
  term: number;
  /** Increases with each state of a term. */
  sequence: number;
  phase: RolloutPhaseName;
  /** Part of the requests that goes to servers of the target version, 0 to 1. */
  share: number;
  /** Servers of the target version that take the share, as `node/server`. */
  servers: readonly string[];
  /** Versions of earlier orders that were not completed; they take no calls. */
  barred?: readonly string[];
  /** True once the final state is in the store and needs no coordinator. */
  isSettled?: boolean;
}

/** An order, sent along with the configuration. */
export interface RolloutOrderNotice {
  service: string;
  targetVersion: string;
  /** Time in ms from the order to its time limit. */
  durationMs: number;
  /** Offset of the order's record. */
  offset: number;
  /** Time in ms until the time limit; negative after it. */
  remainingMs: number;
  /** The final state, once it is settled. */
  state?: RolloutState;
}

/** Counts of one side of a roll-out and one class of calls. */
export interface RolloutCounts {
  class: string;
  side: 'old' | 'new';
  requests: number;
  answered: number;
  failed: number;
  unproven: number;
  refused: number;
  /** Pairs of a latency bucket and its count. */
  latencies: readonly (readonly [number, number])[];
  coldLatencies: readonly (readonly [number, number])[];
}

/** What calls to the sender's server have shown since it knows of the order. */
export interface RolloutEvidence {
  service: string;
  orderOffset: number;
  nodeId: string;
  incarnation: number;
  /** Increases with each report of an incarnation. */
  sequence: number;
  rows: readonly RolloutCounts[];
}

/** Reports that nothing runs at an old server, and that it takes no calls. */
export interface RolloutClosed {
  service: string;
  orderOffset: number;
  /** Term of the state that has closed the server. */
  term: number;
  /** The server, as `node/server`. */
  server: string;
}
