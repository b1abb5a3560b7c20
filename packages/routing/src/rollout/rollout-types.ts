/** Inputs, effects and state of one order at its coordinator. */

import type {PlanTerms, RolloutBounds, RolloutPlan} from './rollout-plan.js';
import type {EvidenceLedger, NodeEvidence} from './version-evidence.js';
import type {Judgement} from './version-judge.js';

/**
 * `trial`: old servers take all traffic but the share. `closing`: new servers
 * take all, old ones finish what runs. `completed` and `rolled-back` are final.
 */
export type RolloutPhase = 'trial' | 'closing' | 'completed' | 'rolled-back';

/** An order, as read from the store. */
export interface RolloutOrder {
  service: string;
  targetVersion: string;
  /** Offset of the order's record in the topic. */
  offset: number;
}

/** State in force, sent to all nodes. Plain data. */
export interface RolloutState {
  service: string;
  orderOffset: number;
  targetVersion: string;
  /** Term of the coordinator; a node ignores lower terms than it has seen. */
  term: number;
  /** Grows with each state of a term. */
  sequence: number;
  phase: RolloutPhase;
  /** Part of the requests that goes to new servers, 0 to 1. */
  share: number;
  /**
   * Keys (`candidateKey`) of the new servers that take the share in `trial`;
   * empty in the other phases, where all new servers or none take calls.
   */
  servers: readonly string[];
}

/** Values of `state` in the status record. */
export type RolloutStatus = 'running' | 'completed' | 'rolled_back';

/**
 * What a write is for: `phase` to the coordinators' topic, by a conditional
 * append that fails after a later term; `status` to the operator's.
 */
export type RolloutRecord =
  | {topic: 'phase'; phase: RolloutPhase}
  | {topic: 'status'; status: RolloutStatus};

/**
 * The store's answer to a write. `written`: it is in the log. `unknown`: no
 * answer; the write is repeated. `superseded`: a later term has written, and
 * this coordinator ends.
 */
export type WriteOutcome = 'written' | 'unknown' | 'superseded';

export type RolloutInput =
  /** Takes up the order; `phase` is the last one in the store, if any. */
  | {kind: 'started'; phase?: RolloutPhase}
  /** The servers of the service in the view, by key; not before it is whole. */
  | {kind: 'servers'; old: readonly string[]; new: readonly string[]}
  | {kind: 'evidence'; report: NodeEvidence}
  /** Sent every 100 ms or more often. */
  | {kind: 'tick'}
  /** An old server's node reports that nothing runs there, after `closing`. */
  | {kind: 'closed'; server: string}
  /** Answers the last `write`; there is one at a time. */
  | {kind: 'stored'; outcome: WriteOutcome}
  /** The store has returned from an older copy; records are written again. */
  | {kind: 'store-returned'};

export type RolloutEffect =
  | {kind: 'publish'; state: RolloutState}
  | {kind: 'write'; record: RolloutRecord}
  | {kind: 'log'; message: string; judgement?: Judgement};

/** The servers of the service by key. */
export interface RolloutServers {
  old: readonly string[];
  new: readonly string[];
}

/** Where the closing stands. */
export interface ClosingCourse {
  sinceMs: number;
  /** Estimate of the new version's requests when it began. */
  newRequests: number;
  /** Samples of the judgement when it began. */
  samples: number;
  /** True once enough answers at full traffic have raised no suspicion. */
  cleared: boolean;
}

/** What the reducer keeps. Only `state` and `ended` are for others to read. */
export interface RolloutCourse {
  readonly order: RolloutOrder;
  readonly bounds: RolloutBounds;
  readonly plan: RolloutPlan;
  /** Updated in place. */
  readonly ledger: EvidenceLedger;
  readonly state: RolloutState;
  /** True once a later term has been seen; no effects follow. */
  readonly ended: boolean;
  /** Undefined until the view is known. */
  readonly servers?: RolloutServers;
  readonly closedServers: readonly string[];
  /** When the share of the trial is next set. */
  readonly shareAtMs: number;
  readonly closing?: ClosingCourse;
  readonly judgement?: Judgement;
  /** Revision of the ledger that `judgement` is on. */
  readonly judgedRevision: number;
  /** Writes that are not known to be in the log, the one under way first. */
  readonly writes: readonly RolloutRecord[];
  /** When a write without an answer is repeated. */
  readonly repeatAtMs: number;
  /** When the state is published again without a change. */
  readonly publishAtMs: number;
}

/** What a new course is made from. */
export interface RolloutTerms extends PlanTerms {
  order: RolloutOrder;
  bounds: RolloutBounds;
  /** Term of the coordinator. */
  term: number;
}
